"""Tests of the duty: its terms, and the results of calls."""

import datetime

import pytest

from mustardwood import leadership
from mustardwood.scaling.tests import demand_model
from mustardwood.scaling.tests import duty_harness

_Outcome = duty_harness.Outcome


def _make_world(fault=None, until=6, **changes):
    world = duty_harness.World(demand_model.DemandModel(), **changes)
    world.calls.find_fault = lambda number: fault
    world.run(until)
    return world


def test_first_order_is_sent_within_a_second():
    world = _make_world(until=1.0)
    assert world.calls.sent


def test_nothing_is_sent_without_a_term():
    world = duty_harness.World(demand_model.DemandModel())
    world.vms[0].leadership.term = None
    world.run(20)
    assert not world.calls.sent


def test_refused_token_ends_the_term():
    world = _make_world(_Outcome.TOKEN_REFUSED)
    assert world.vms[0].leadership.ended == ["token_refused"]
    # Calls that were in flight by then may follow the refused one.
    assert len(world.calls.sent) <= 3


def test_late_refusal_of_an_old_token_does_not_end_a_newer_term():
    world = duty_harness.World(demand_model.DemandModel())
    vm = world.vms[0]
    world.calls.find_fault = lambda number: _Outcome.TOKEN_REFUSED
    world.run(0.5)
    assert world.calls.sent
    world.calls.find_fault = lambda number: None
    world.hold(0)
    vm.duty.run_once()
    world.run(5)
    assert not vm.leadership.ended


@pytest.mark.parametrize(
    "fault", [_Outcome.FAILED, _Outcome.RATE_LIMITED, _Outcome.NO_RESPONSE])
def test_failing_api_is_called_less_and_less_often(fault):
    world = _make_world(fault, until=60)
    assert len(world.calls.sent) <= 30
    late = [time for time, _, _ in world.calls.sent if time > 30]
    assert len(late) <= 12


def test_retry_after_is_kept():
    world = duty_harness.World(demand_model.DemandModel())

    def order_endpoints(term, order, done):
        world.calls.sent.append((world.model.now, term, order))
        world.scheduler.call_later(
            datetime.timedelta(milliseconds=10), lambda: done(
                leadership.CallResult(_Outcome.RATE_LIMITED,
                                      datetime.timedelta(seconds=20))))

    world.calls.order_endpoints = order_endpoints
    world.run(15)
    assert len(world.calls.sent) <= 3


def test_zone_that_has_none_to_give_is_left_to_the_others():
    world = duty_harness.World(demand_model.DemandModel())
    world.model.reclaim("a")
    world.run(9)
    refused = [
        order for _, _, order in world.calls.sent
        if order.zone == "a" and order.is_preemptible
    ]
    assert 1 <= len(refused) <= 3
    assert world.model.count("b", True) > 10
    assert world.model.count("c", True) > 10


def test_lost_order_is_repeated_when_registrations_differ_for_long():
    world = duty_harness.World(demand_model.DemandModel())
    world.calls.find_fault = (lambda number: _Outcome.NO_RESPONSE
                              if number < 3 else None)
    world.run(25)
    assert all(world.model.count(zone, True) > 5 for zone in "abc")


def test_late_orders_do_not_shrink_the_fleet_for_long():
    world = duty_harness.World(demand_model.DemandModel())
    world.run(40)
    # An order from the beginning is executed after all others.
    world.model.order("b", 3, True)
    world.run(60)
    assert world.model.count("b", True) > 10


def test_rate_of_calls_is_bounded():
    world = duty_harness.World(
        demand_model.DemandModel(bursts=demand_model.make_bursts(10.0, 100.0)))
    world.run(100)
    times = [time for time, _, _ in world.calls.sent]
    for start in times:
        assert sum(start <= each < start + 2.0 for each in times) <= 12


def test_each_order_has_a_log_line_with_reason_and_inputs():
    world = _make_world(until=30)
    lines = world.vms[0].journal.list_events("endpoint_order")
    assert len(lines) == len(world.calls.sent)
    for each in lines:
        assert each["reason"]
        assert each["wanted_in_all"]
        assert each["count"] >= 0


def test_results_are_counted():
    world = _make_world(until=10)
    results = world.vms[0].duty.results
    assert results["accepted"] == len(world.calls.sent)


def test_switched_off_duty_sends_nothing():
    world = duty_harness.World(demand_model.DemandModel(), is_enabled=False)
    world.run(20)
    assert not world.calls.sent
    assert world.vms[0].planner.list_plans()
