"""No request is refused while one of a lower tier waits in the cell."""

import datetime

import hypothesis
from hypothesis import strategies
import pytest

from mustardwood import messages
from mustardwood.scheduling.tests import bench as bench_module

_STEPS = strategies.lists(strategies.one_of(
    strategies.tuples(strategies.just("ask"), strategies.integers(0, 5),
                      strategies.integers(1, 3), strategies.integers(1, 3),
                      strategies.sampled_from((2.0, 300.0))),
    strategies.tuples(strategies.just("end"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("withdraw"), strategies.integers(0, 9)),
    strategies.tuples(strategies.just("advance"), strategies.integers(1, 40))),
                          min_size=60,
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
    match step:
        case ("ask", tier, sender, organisation, remaining):
            ask = bench.make_ask(f"t{tier}",
                                 organisation=f"o{organisation}",
                                 remaining=remaining)
            bench.ended[ask.request_id] = bench.now + ask.remaining
            bench.send(ask, sender)
        case ("end", index):
            running = [each for each in bench.grants if each not in bench.done]
            if running:
                chosen = running[index % len(running)]
                bench.done.add(chosen)
                bench.report(chosen)
        case ("withdraw", index):
            waiting = list(bench.waiting.values())
            if waiting:
                bench.withdraw(*waiting[index % len(waiting)])
        case ("advance", ticks):
            bench.clock.advance(bench_module.TICK * ticks)
            bench.take(bench.scheduler.tick(bench.now))


@hypothesis.settings(derandomize=True, deadline=None, max_examples=50)
@hypothesis.given(_STEPS)
def test_no_refusal_while_a_lower_tier_waits(steps):
    bench = _make_bench()
    bench.done = set()
    for step in steps:
        _apply(bench, step)


def test_full_queues_of_six_tiers_from_several_entries():
    bench = _make_bench(queue_limit=20)
    for tier in range(5, -1, -1):
        for sender in (1, 2, 3):
            for _ in range(40):
                bench.ask(f"t{tier}", sender=sender)
    assert {each.class_name for each, _ in bench.waiting.values()} == {"t0"}
    assert len(bench.waiting) == 6 * 20


def test_displaced_is_the_newest_of_the_lowest_tier():
    bench = _make_bench(queue_limit=1, concurrency=1)
    bench.ask("t0")
    asks = []
    for tier in (5, 4, 3, 2, 1, 0):
        asks.append(bench.ask(f"t{tier}"))
        bench.clock.advance(bench_module.TICK)
    bench.ask("t0")
    refused = bench.refusals[asks[0].request_id]
    assert refused.reason is messages.RefusalReason.DISPLACED
    assert refused.retry_after >= datetime.timedelta(seconds=1)
    assert refused.explanation


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
    high = bench.ask("t0")
    bench.report(running.request_id)
    assert high.request_id in bench.grants
    assert low.request_id not in bench.grants
