"""Tests that every class and organisation is served under overload."""

import datetime

import pytest

from mustardwood import configuration
from mustardwood.scheduling import slot_reservation
from mustardwood.scheduling.tests import harness as harness_module

_MAX_WAIT = 30.0
_SERVICE_RATE = 4
"""Requests per second that the endpoint can serve."""


def _compute_longest_gap(harness, class_name, until) -> float:
    times = sorted(harness.granted_at[each].total_seconds()
                   for each in harness.grants
                   if harness.asks[each].class_name == class_name)
    bounds = [0.0, *times, until]
    return max(after - before for before, after in zip(bounds, bounds[1:]))


def _run_overload(classes, seconds, low_interval=1.0):
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes))
    next_arrival = {"top": 0.0, "low": 0.0}

    def send_arrivals(now):
        while next_arrival["top"] <= now.total_seconds():
            next_arrival["top"] += 1 / (3 * _SERVICE_RATE)
            harness.ask("t0")
        while next_arrival["low"] <= now.total_seconds():
            next_arrival["low"] += low_interval
            for each in classes[1:]:
                harness.ask(each.name, sender=2)

    harness.run(seconds, send_arrivals, senders=(1, 2))
    return harness


@pytest.mark.parametrize("queue_limit", [5, 256])
def test_each_class_is_served_under_threefold_overload(queue_limit):
    classes = harness_module.make_tiers(max_wait_seconds=_MAX_WAIT,
                                        queue_limit=queue_limit)
    seconds = 300.0
    harness = _run_overload(classes, seconds)
    for each in classes:
        gap = _compute_longest_gap(harness, each.name, seconds)
        served = harness.count_grants(each.name) / len(harness.grants)
        assert gap <= _MAX_WAIT or served >= each.floor, each.name
        assert harness.count_grants(each.name) > 1
    assert harness.count_grants("t0") > 0.8 * len(harness.grants)


def test_max_wait_holds_without_a_floor():
    classes = harness_module.make_tiers(floor=0.0,
                                        max_wait_seconds=_MAX_WAIT,
                                        queue_limit=5)
    harness = _run_overload(classes, 200.0)
    for each in classes:
        assert _compute_longest_gap(harness, each.name, 200.0) <= _MAX_WAIT


def test_floor_holds_with_a_very_long_max_wait():
    classes = harness_module.make_tiers(floor=0.05,
                                        max_wait_seconds=10000.0,
                                        queue_limit=20)
    harness = _run_overload(classes, 200.0)
    for each in classes:
        share = (harness.count_grants(each.name) + 2) / len(harness.grants)
        assert share >= each.floor, each.name


def test_burst_of_one_organisation_does_not_starve_another():
    classes = [configuration.RequestClass("t0", 0, 1.0, queue_limit=50)]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, concurrency=1))
    for _ in range(200):
        harness.ask("t0", organisation="large")
    asks = [harness.ask("t0", organisation="small") for _ in range(5)]
    harness.run(12)
    assert all(each.request_id in harness.grants for each in asks)


def test_grants_are_shared_in_proportion_to_weights():
    classes = [configuration.RequestClass("t0", 0, 1.0, queue_limit=500)]
    organisations = (configuration.Organisation("a", weight=3.0),
                     configuration.Organisation("b", weight=1.0))
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, organisations=organisations))
    for _ in range(120):
        harness.ask("t0", organisation="a")
        harness.ask("t0", organisation="b")
    harness.run(20)
    granted = [harness.asks[each].organisation for each in harness.grants]
    assert granted.count("a") / granted.count("b") == pytest.approx(3, rel=0.2)


def test_class_with_the_earlier_target_goes_first_within_a_tier():
    classes = [
        configuration.RequestClass("slow", 0, 60.0),
        configuration.RequestClass("fast", 0, 1.0)
    ]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, concurrency=1))
    running = harness.ask("slow")
    harness.ask("slow")
    harness.clock.advance(datetime.timedelta(seconds=1))
    fast = harness.ask("fast")
    harness.report(running.request_id)
    assert fast.request_id in harness.grants


def test_short_request_does_not_wait_behind_long_ones():
    classes = [
        configuration.RequestClass("tag", 1, 1.0, expected_output_tokens=8),
        configuration.RequestClass("long", 1, 60.0, expected_output_tokens=2000)
    ]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes))
    harness.report(harness.ask("tag").request_id)
    harness.advance(datetime.timedelta(seconds=1))
    for _ in range(20):
        harness.ask("long", max_tokens=4000)
    tag = harness.ask("tag")
    assert tag.request_id in harness.grants


def test_withdrawn_grants_are_not_charged():
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, concurrency=1))
    for _ in range(5):
        harness.withdraw(harness.ask("t0", organisation="a"))
    running = harness.ask("t0", organisation="b")
    harness.ask("t0", organisation="b")
    harness.clock.advance(harness_module.TICK_INTERVAL)
    ask = harness.ask("t0", organisation="a")
    harness.report(running.request_id)
    assert ask.request_id in harness.grants


def _run_late_and_fresh(count):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, concurrency=1))
    running = harness.ask("t0")
    late = [harness.ask("t0") for _ in range(count)]
    harness.advance(datetime.timedelta(seconds=2))
    fresh = [harness.ask("t0") for _ in range(count)]
    for _ in range(count):
        harness.report(running.request_id)
        running = harness.asks[list(harness.grants)[-1]]
    return harness, late, fresh


def test_requests_that_can_meet_the_target_go_before_late_ones():
    harness, _, fresh = _run_late_and_fresh(8)
    assert sum(each.request_id in harness.grants for each in fresh) >= 6


def test_late_requests_are_still_served():
    harness, late, _ = _run_late_and_fresh(8)
    assert sum(each.request_id in harness.grants for each in late) >= 2


class _FullReservation(slot_reservation.SlotReservation):
    """Reserves all slots."""

    def may_take_slot(self, *_):
        return False


def test_reservation_delays_a_class_for_half_of_its_deadline_at_most():
    classes = [
        configuration.RequestClass("middle", 2, 3.0, deadline_seconds=40.0)
    ]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes))
    harness.scheduler._state.slot_reservation = _FullReservation()  # pylint: disable=protected-access
    ask = harness.ask("middle")
    harness.run(19)
    assert ask.request_id not in harness.grants
    harness.run(2)
    assert ask.request_id in harness.grants
