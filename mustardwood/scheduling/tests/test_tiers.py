"""No request is refused while one of a lower tier waits in the cell."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import bench as bench_module

_KINDS = ("ask",) * 16 + ("end", "withdraw", "advance", "advance", "move")
_STEPS = strategies.lists(strategies.tuples(strategies.sampled_from(_KINDS),
                                            strategies.integers(0, 5),
                                            strategies.integers(0, 40),
                                            strategies.booleans()),
                          min_size=80,
                          max_size=200)


def _check_tiers(bench, refusal) -> None:
    ask = bench.asks[refusal.request_id]
    expired = bench.ended.get(refusal.request_id, bench.now) <= bench.now
    if refusal.reason is messages.RefusalReason.DEADLINE and expired:
        return
    tier = bench.tiers[ask.class_name]
    lower = [
        each.class_name
        for each, _ in bench.waiting.values()
        if bench.tiers[each.class_name] > tier
    ]
    assert not lower, f"{refusal} while {lower} wait"


def _make_bench(queue_limit=2, concurrency=2):
    classes = bench_module.make_tiers(queue_limit=queue_limit)
    bench = bench_module.Bench(
        bench_module.make_document(classes, concurrency=concurrency))
    bench.tiers = {each.name: each.tier for each in classes}
    bench.ended = {}
    bench.check_refusal = lambda refusal: _check_tiers(bench, refusal)
    return bench


def _apply(bench, step) -> None:
    kind, tier, number, hurried = step
    match kind:
        case "ask":
            ask = bench.make_ask(f"t{tier}",
                                 organisation=f"o{number % 4}",
                                 remaining=2.0 if hurried else 300.0)
            bench.ended[ask.request_id] = bench.now + ask.remaining
            bench.send(ask, sender=1 + number % 3)
        case "end":
            running = [each for each in bench.grants if each not in bench.done]
            if running:
                chosen = running[number % len(running)]
                bench.done.add(chosen)
                bench.report(chosen)
        case "withdraw":
            waiting = list(bench.waiting.values())
            if waiting:
                bench.withdraw(*waiting[number % len(waiting)])
        case "advance":
            bench.advance(bench_module.TICK * number)
            _beat(bench)
        case "move":
            bench.scheduler = scheduling.CellScheduler.from_config(
                bench.cell, bench.document)
            _beat(bench)


def _beat(bench) -> None:
    bench.sequence += 1
    running = [
        bench.make_running(grant)
        for key, grant in bench.grants.items()
        if key not in bench.done
    ]
    for sender in (1, 2, 3):
        waiting = [
            ask for ask, owner in bench.waiting.values() if owner == sender
        ]
        bench.heartbeat(bench.sequence, waiting, running if sender == 1 else (),
                        sender)


@hypothesis.settings(derandomize=True,
                     deadline=None,
                     max_examples=50,
                     phases=(hypothesis.Phase.explicit,
                             hypothesis.Phase.generate))
@hypothesis.given(_STEPS)
def test_no_refusal_while_a_lower_tier_waits(steps):
    bench = _make_bench(queue_limit=1, concurrency=1)
    bench.done = set()
    bench.sequence = 0
    for step in steps:
        _apply(bench, step)


def test_full_queues_of_six_tiers_from_several_entries():
    bench = _make_bench(queue_limit=20)
    bench.heartbeat(0)
    bench.advance(scheduling.LEARNING_TIME)
    for tier in range(5, -1, -1):
        for sender in (1, 2, 3):
            for _ in range(40):
                bench.ask(f"t{tier}", sender=sender)
    assert {each.class_name for each, _ in bench.waiting.values()} == {"t0"}
    assert len(bench.waiting) == 6 * 20


def test_displaced_is_the_newest_of_the_lowest_tier():
    bench = _make_bench(queue_limit=2, concurrency=1)
    bench.heartbeat(0)
    bench.advance(scheduling.LEARNING_TIME)
    bench.ask("t0")
    asks = []
    for tier in (5, 5, 4, 4, 3, 3, 2, 2, 1, 1, 0, 0):
        asks.append(bench.ask(f"t{tier}"))
        bench.clock.advance(bench_module.TICK)
    bench.ask("t0")
    assert list(bench.refusals) == [asks[1].request_id]
    refused = bench.refusals[asks[1].request_id]
    assert refused.reason is messages.RefusalReason.DISPLACED
    assert refused.retry_after >= datetime.timedelta(seconds=1)
    assert refused.explanation


def test_higher_tier_takes_free_places_before_it_displaces():
    bench = _make_bench(queue_limit=2, concurrency=1)
    bench.heartbeat(0)
    bench.advance(scheduling.LEARNING_TIME)
    bench.ask("t5")
    bench.ask("t5")
    for _ in range(6):
        bench.ask("t0")
    assert not bench.refusals


def test_new_owner_sheds_only_after_it_has_learnt():
    bench = _make_bench(queue_limit=2, concurrency=1)
    high = [bench.make_ask("t0") for _ in range(12)]
    low = [bench.make_ask("t5") for _ in range(2)]
    for ask in high + low:
        bench.asks[ask.request_id] = ask
        bench.waiting[ask.request_id] = (ask, 1)
    bench.heartbeat(1, high, sender=1)
    bench.heartbeat(1, low, sender=2)
    assert not bench.refusals
    bench.advance(scheduling.LEARNING_TIME)
    assert set(bench.refusals) <= {each.request_id for each in low}
    assert bench.refusals


def test_hopeless_deadline_is_refused_at_once():
    bench = _make_bench(queue_limit=200)

    def fill(_):
        while len(bench.waiting) < 100:
            bench.ask("t0")

    bench.run(20, fill)
    late = bench.ask("t0", remaining=5.0)
    assert (bench.refusals[late.request_id].reason
            is messages.RefusalReason.DEADLINE)


def test_hopeless_deadline_waits_while_a_lower_tier_does():
    bench = _make_bench(queue_limit=200)

    def fill(_):
        while len(bench.waiting) < 100:
            bench.ask("t0")

    bench.run(20, fill)
    bench.ask("t1")
    late = bench.ask("t0", remaining=5.0)
    assert late.request_id not in bench.refusals


@pytest.mark.parametrize("first", ["t5", "t1"])
def test_higher_tier_goes_first(first):
    bench = _make_bench(queue_limit=20, concurrency=1)
    running = bench.ask(first)
    low = bench.ask("t3")
    bench.clock.advance(bench_module.TICK)
    high = bench.ask("t0")
    bench.report(running.request_id)
    assert high.request_id in bench.grants
    assert low.request_id not in bench.grants
