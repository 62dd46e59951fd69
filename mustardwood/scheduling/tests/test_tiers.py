"""Tests that no request is refused while one of a lower tier waits."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import harness as harness_module

_EVENT_KINDS = ("ask",) * 16 + ("end", "withdraw", "advance", "advance",
                                "change_owner")
_EVENT_SEQUENCES = strategies.lists(strategies.tuples(
    strategies.sampled_from(_EVENT_KINDS), strategies.integers(0, 5),
    strategies.integers(0, 40), strategies.booleans()),
                                    min_size=80,
                                    max_size=200)


def _check_no_lower_tier_waits(harness, refusal) -> None:
    ask = harness.asks[refusal.request_id]
    expired = harness.deadlines.get(refusal.request_id,
                                    harness.now) <= harness.now
    if refusal.reason is messages.RefusalReason.DEADLINE and expired:
        return
    tier = harness.tiers[ask.class_name]
    lower = [
        each.class_name
        for each, _ in harness.waiting.values()
        if harness.tiers[each.class_name] > tier
    ]
    assert not lower, f"{refusal} while {lower} wait"


def _make_harness(queue_limit=2, concurrency=2):
    classes = harness_module.make_tiers(queue_limit=queue_limit)
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, concurrency=concurrency))
    harness.tiers = {each.name: each.tier for each in classes}
    harness.deadlines = {}
    harness.check_refusal = lambda refusal: _check_no_lower_tier_waits(
        harness, refusal)
    return harness


def _apply_event(harness, event) -> None:
    kind, tier, number, has_short_deadline = event
    match kind:
        case "ask":
            ask = harness.make_ask(
                f"t{tier}",
                organisation=f"o{number % 4}",
                remaining=2.0 if has_short_deadline else 300.0)
            harness.deadlines[ask.request_id] = harness.now + ask.remaining
            harness.send(ask, sender=1 + number % 3)
        case "end":
            running = [
                each for each in harness.grants if each not in harness.finished
            ]
            if running:
                chosen = running[number % len(running)]
                harness.finished.add(chosen)
                harness.report(chosen)
        case "withdraw":
            waiting = list(harness.waiting.values())
            if waiting:
                harness.withdraw(*waiting[number % len(waiting)])
        case "advance":
            harness.advance(harness_module.TICK_INTERVAL * number)
            _send_heartbeats(harness)
        case "change_owner":
            harness.scheduler = scheduling.CellScheduler.from_config(
                harness.cell, harness.document)
            _send_heartbeats(harness)


def _send_heartbeats(harness) -> None:
    harness.sequence += 1
    running = [
        harness.make_running(grant)
        for key, grant in harness.grants.items()
        if key not in harness.finished
    ]
    for sender in (1, 2, 3):
        waiting = [
            ask for ask, owner in harness.waiting.values() if owner == sender
        ]
        harness.send_heartbeat(harness.sequence, waiting,
                               running if sender == 1 else (), sender)


@hypothesis.settings(derandomize=True,
                     deadline=None,
                     max_examples=50,
                     phases=(hypothesis.Phase.explicit,
                             hypothesis.Phase.generate))
@hypothesis.given(_EVENT_SEQUENCES)
def test_no_refusal_while_a_lower_tier_waits(events):
    harness = _make_harness(queue_limit=1, concurrency=1)
    harness.finished = set()
    harness.sequence = 0
    for event in events:
        _apply_event(harness, event)


def test_queue_full_of_the_highest_tier_displaces_all_lower_tiers():
    harness = _make_harness(queue_limit=20)
    harness.send_heartbeat(0)
    harness.advance(scheduling.LEARNING_TIME)
    for tier in range(5, -1, -1):
        for sender in (1, 2, 3):
            for _ in range(40):
                harness.ask(f"t{tier}", sender=sender)
    assert {each.class_name for each, _ in harness.waiting.values()} == {"t0"}
    assert len(harness.waiting) == 6 * 20


def test_newest_request_of_the_lowest_tier_is_displaced():
    harness = _make_harness(queue_limit=2, concurrency=1)
    harness.send_heartbeat(0)
    harness.advance(scheduling.LEARNING_TIME)
    harness.ask("t0")
    asks = []
    for tier in (5, 5, 4, 4, 3, 3, 2, 2, 1, 1, 0, 0):
        asks.append(harness.ask(f"t{tier}"))
        harness.clock.advance(harness_module.TICK_INTERVAL)
    harness.ask("t0")
    assert list(harness.refusals) == [asks[1].request_id]
    refused = harness.refusals[asks[1].request_id]
    assert refused.reason is messages.RefusalReason.DISPLACED
    assert refused.retry_after >= datetime.timedelta(seconds=1)
    assert refused.explanation


def test_higher_tier_uses_free_capacity_before_it_displaces():
    harness = _make_harness(queue_limit=2, concurrency=1)
    harness.send_heartbeat(0)
    harness.advance(scheduling.LEARNING_TIME)
    harness.ask("t5")
    harness.ask("t5")
    for _ in range(6):
        harness.ask("t0")
    assert not harness.refusals


def test_new_owner_sheds_only_after_its_learning_period():
    harness = _make_harness(queue_limit=2, concurrency=1)
    high = [harness.make_ask("t0") for _ in range(12)]
    low = [harness.make_ask("t5") for _ in range(2)]
    for ask in high + low:
        harness.asks[ask.request_id] = ask
        harness.waiting[ask.request_id] = (ask, 1)
    harness.send_heartbeat(1, high, sender=1)
    harness.send_heartbeat(1, low, sender=2)
    assert not harness.refusals
    harness.advance(scheduling.LEARNING_TIME)
    assert set(harness.refusals) <= {each.request_id for each in low}
    assert harness.refusals


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    harness = _make_harness(queue_limit=200)

    def fill_queue(_):
        while len(harness.waiting) < 100:
            harness.ask("t0")

    harness.run(20, fill_queue)
    late = harness.ask("t0", remaining=5.0)
    assert (harness.refusals[late.request_id].reason
            is messages.RefusalReason.DEADLINE)


def test_no_early_deadline_refusal_while_a_lower_tier_waits():
    harness = _make_harness(queue_limit=200)

    def fill_queue(_):
        while len(harness.waiting) < 100:
            harness.ask("t0")

    harness.run(20, fill_queue)
    harness.ask("t1")
    late = harness.ask("t0", remaining=5.0)
    assert late.request_id not in harness.refusals


@pytest.mark.parametrize("first", ["t5", "t1"])
def test_higher_tier_goes_first(first):
    harness = _make_harness(queue_limit=20, concurrency=1)
    running = harness.ask(first)
    low = harness.ask("t3")
    harness.clock.advance(harness_module.TICK_INTERVAL)
    high = harness.ask("t0")
    harness.report(running.request_id)
    assert high.request_id in harness.grants
    assert low.request_id not in harness.grants
