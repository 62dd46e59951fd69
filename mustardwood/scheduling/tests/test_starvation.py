"""Every class is served under overload."""

import datetime

import pytest

from mustardwood import configuration
from mustardwood.scheduling import slot_reservation
from mustardwood.scheduling.tests import bench as bench_module

_MAX_WAIT = 30.0
_RATE = 4
"""Requests a second that the endpoint can serve."""


def _find_longest_gap(bench, class_name, until) -> float:
    times = sorted(bench.granted_at[each].total_seconds()
                   for each in bench.grants
                   if bench.asks[each].class_name == class_name)
    edges = [0.0, *times, until]
    return max(after - before for before, after in zip(edges, edges[1:]))


def _run_overload(classes, seconds, low_interval=1.0):
    bench = bench_module.Bench(bench_module.make_document(classes))
    due = {"top": 0.0, "low": 0.0}

    def arrive(now):
        while due["top"] <= now.total_seconds():
            due["top"] += 1 / (3 * _RATE)
            bench.ask("t0")
        while due["low"] <= now.total_seconds():
            due["low"] += low_interval
            for each in classes[1:]:
                bench.ask(each.name, sender=2)

    bench.run(seconds, arrive, senders=(1, 2))
    return bench


@pytest.mark.parametrize("queue_limit", [5, 256])
def test_each_class_is_served_under_threefold_overload(queue_limit):
    classes = bench_module.make_tiers(max_wait_seconds=_MAX_WAIT,
                                      queue_limit=queue_limit)
    seconds = 300.0
    bench = _run_overload(classes, seconds)
    for each in classes:
        gap = _find_longest_gap(bench, each.name, seconds)
        served = bench.count_grants(each.name) / len(bench.grants)
        assert gap <= _MAX_WAIT or served >= each.floor, each.name
        assert bench.count_grants(each.name) > 1
    assert bench.count_grants("t0") > 0.8 * len(bench.grants)


def test_bound_on_waiting_holds_without_a_floor():
    classes = bench_module.make_tiers(floor=0.0,
                                      max_wait_seconds=_MAX_WAIT,
                                      queue_limit=5)
    bench = _run_overload(classes, 200.0)
    for each in classes:
        assert _find_longest_gap(bench, each.name, 200.0) <= _MAX_WAIT


def test_floor_is_kept_whatever_the_bound_on_waiting():
    classes = bench_module.make_tiers(floor=0.05,
                                      max_wait_seconds=10000.0,
                                      queue_limit=20)
    bench = _run_overload(classes, 200.0)
    for each in classes:
        share = (bench.count_grants(each.name) + 2) / len(bench.grants)
        assert share >= each.floor, each.name


def test_burst_of_one_organisation_leaves_room_for_another():
    classes = [configuration.RequestClass("t0", 0, 1.0, queue_limit=50)]
    bench = bench_module.Bench(
        bench_module.make_document(classes, concurrency=1))
    for _ in range(200):
        bench.ask("t0", organisation="large")
    asks = [bench.ask("t0", organisation="small") for _ in range(5)]
    bench.run(12)
    assert all(each.request_id in bench.grants for each in asks)


def test_shares_follow_weights():
    classes = [configuration.RequestClass("t0", 0, 1.0, queue_limit=500)]
    organisations = (configuration.Organisation("a", weight=3.0),
                     configuration.Organisation("b", weight=1.0))
    bench = bench_module.Bench(
        bench_module.make_document(classes, organisations=organisations))
    for _ in range(120):
        bench.ask("t0", organisation="a")
        bench.ask("t0", organisation="b")
    bench.run(20)
    granted = [bench.asks[each].organisation for each in bench.grants]
    assert granted.count("a") / granted.count("b") == pytest.approx(3, rel=0.2)


def test_class_with_the_earlier_target_goes_first_in_a_tier():
    classes = [
        configuration.RequestClass("slow", 0, 60.0),
        configuration.RequestClass("fast", 0, 1.0)
    ]
    bench = bench_module.Bench(
        bench_module.make_document(classes, concurrency=1))
    running = bench.ask("slow")
    bench.ask("slow")
    bench.clock.advance(datetime.timedelta(seconds=1))
    fast = bench.ask("fast")
    bench.report(running.request_id)
    assert fast.request_id in bench.grants


def test_tag_does_not_wait_behind_long_reconciliations():
    classes = [
        configuration.RequestClass("tag", 1, 1.0, expected_output_tokens=8),
        configuration.RequestClass("long", 1, 60.0, expected_output_tokens=2000)
    ]
    bench = bench_module.Bench(bench_module.make_document(classes))
    bench.report(bench.ask("tag").request_id)
    bench.advance(datetime.timedelta(seconds=1))
    for _ in range(20):
        bench.ask("long", max_tokens=4000)
    tag = bench.ask("tag")
    assert tag.request_id in bench.grants


def test_unused_grants_are_not_charged():
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    bench = bench_module.Bench(
        bench_module.make_document(classes, concurrency=1))
    for _ in range(5):
        bench.withdraw(bench.ask("t0", organisation="a"))
    running = bench.ask("t0", organisation="b")
    bench.ask("t0", organisation="b")
    bench.clock.advance(bench_module.TICK)
    ask = bench.ask("t0", organisation="a")
    bench.report(running.request_id)
    assert ask.request_id in bench.grants


def _run_backlog(count):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    bench = bench_module.Bench(
        bench_module.make_document(classes, concurrency=1))
    running = bench.ask("t0")
    late = [bench.ask("t0") for _ in range(count)]
    bench.advance(datetime.timedelta(seconds=2))
    fresh = [bench.ask("t0") for _ in range(count)]
    for _ in range(count):
        bench.report(running.request_id)
        running = bench.asks[list(bench.grants)[-1]]
    return bench, late, fresh


def test_requests_that_can_meet_the_target_go_before_late_ones():
    bench, _, fresh = _run_backlog(8)
    assert sum(each.request_id in bench.grants for each in fresh) >= 6


def test_late_requests_keep_being_served():
    bench, late, _ = _run_backlog(8)
    assert sum(each.request_id in bench.grants for each in late) >= 2


class _FullReserve(slot_reservation.SlotReservation):
    """Holds every slot back."""

    def may_start(self, *_):
        return False


def test_reserve_holds_a_class_back_for_half_of_its_deadline_only():
    classes = [
        configuration.RequestClass("middle", 2, 3.0, deadline_seconds=40.0)
    ]
    bench = bench_module.Bench(bench_module.make_document(classes))
    bench.scheduler._state.reserve = _FullReserve()  # pylint: disable=protected-access
    ask = bench.ask("middle")
    bench.run(19)
    assert ask.request_id not in bench.grants
    bench.run(2)
    assert ask.request_id in bench.grants
