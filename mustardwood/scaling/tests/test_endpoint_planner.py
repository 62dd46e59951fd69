"""Tests of the orders that follow from the states of services."""

import collections
import dataclasses
import datetime

from mustardwood import scaling

_PARAMETERS = scaling.ScalingParameters(1, 38, datetime.timedelta(seconds=4),
                                        0.22, {
                                            "a": 0.85,
                                            "b": 1.0,
                                            "c": 1.2
                                        })
_START = scaling.ServiceState(
    "engine", _PARAMETERS, {
        0: 15.0,
        1: 15.0
    }, 25.0,
    tuple(scaling.PresentEndpoint("abc"[each % 3]) for each in range(56)))


class _Run:
    """Executes orders at once, without a boot time."""

    def __init__(self, state=_START, has_open_streams=False):
        self.planner = scaling.EndpointPlanner(lambda *_: has_open_streams)
        self.state = state
        self.time = datetime.timedelta()
        self.orders = []

    def advance(self, seconds):
        """Plans twice a second."""
        orders = []
        for _ in range(int(seconds * 2)):
            self.time += datetime.timedelta(seconds=0.5)
            self.planner.observe(self.time, [self.state])
            for order in self.planner.plan_orders():
                self.planner.record_sent(self.time, order)
                self.planner.record_end(order.group, True)
                orders.append(order)
                self._execute(order)
        self.orders += orders
        return orders

    def count(self, zone=None, is_preemptible=None):
        """Returns the number of endpoints."""
        return sum(zone in (None, each.zone) and is_preemptible in (
            None, each.is_preemptible) for each in self.state.endpoints)

    def change(self, **changes):
        """Changes the state."""
        self.state = dataclasses.replace(self.state, **changes)

    def _execute(self, order):
        group = order.group
        same = [
            each for each in self.state.endpoints if each.zone == group.zone and
            each.is_preemptible == group.is_preemptible
        ]
        others = [each for each in self.state.endpoints if each not in same]
        new = scaling.PresentEndpoint(group.zone, group.is_preemptible, False,
                                      "v1")
        # The oldest versions are removed first.
        same = sorted(same, key=lambda each: each.version)
        same = same[max(0, len(same) - order.count):]
        same += [new] * (order.count - len(same))
        self.change(endpoints=tuple(others + same))


def _start_run(**changes):
    run = _Run(**changes)
    run.planner.start_term(run.time)
    return run


def test_nothing_is_ordered_without_a_term():
    run = _Run()
    assert not run.advance(30)


def test_first_orders_come_with_the_first_plan():
    # Endpoints are paid from the start.
    run = _start_run()
    orders = run.advance(0.5)
    assert {each.group.zone for each in orders} == {"a", "b", "c"}
    assert all(each.group.is_preemptible for each in orders)


def test_fleet_becomes_larger_and_cheaper():
    run = _start_run()
    run.advance(60)
    assert run.count() > 56
    price = run.count(
        is_preemptible=False) + 0.22 * run.count(is_preemptible=True)
    assert price < 45
    assert all(run.count(zone, False) >= 1 for zone in "abc")


def test_steady_demand_needs_no_further_orders():
    run = _start_run()
    run.advance(60)
    assert not run.advance(60)


def test_nothing_is_ordered_on_incomplete_knowledge():
    # An absolute number could remove endpoints that are not known.
    run = _start_run(state=dataclasses.replace(_START, is_complete=False))
    assert not run.advance(30)


def test_new_holder_removes_nothing_at_first():
    # Endpoints that its predecessor ordered may not be registered yet.
    run = _Run()
    run.advance(60)
    run.planner.start_term(run.time)
    before = run.count(is_preemptible=False)
    run.advance(7.5)
    assert run.count(is_preemptible=False) >= before
    run.advance(60)
    assert run.count(is_preemptible=False) < before


def test_removals_are_slow():
    run = _start_run()
    removed = collections.Counter()
    for _ in range(200):
        before = run.count()
        run.advance(0.5)
        removed[int(run.time.total_seconds() / 4)] += max(
            0, before - run.count())
    assert max(removed.values()) <= 0.2 * 114


def test_surplus_must_last():
    run = _start_run()
    run.advance(60)
    count = run.count()
    run.change(demands={0: 2.0, 1: 2.0}, busy_count=3.0)
    run.advance(8)
    assert run.count() == count
    run.advance(90)
    assert run.count() < 0.5 * count


def _make_mixed_state():
    """Returns a state with an old version in one zone only."""
    return dataclasses.replace(
        _START,
        endpoints=tuple(
            scaling.PresentEndpoint("a", version="v0") for _ in range(3)) +
        tuple(
            scaling.PresentEndpoint("abc"[each % 3], version="v1")
            for each in range(53)))


def test_last_endpoint_of_a_version_with_open_streams_stays():
    # Which endpoints the platform removes is not known: here, the oldest.
    run = _start_run(state=_make_mixed_state(), has_open_streams=True)
    run.advance(120)
    assert any(each.version == "v0" for each in run.state.endpoints)


def test_version_without_open_streams_is_removed():
    run = _start_run(state=_make_mixed_state(), has_open_streams=False)
    run.advance(120)
    assert not any(each.version == "v0" for each in run.state.endpoints)


def test_reclaimed_endpoints_are_replaced_in_the_other_zones_at_once():
    run = _start_run()
    run.advance(60)
    lost = run.count("a", True)
    run.change(endpoints=tuple(
        dataclasses.replace(each, is_draining=True)
        if each.zone == "a" and each.is_preemptible else each
        for each in run.state.endpoints))
    orders = run.advance(0.5)
    assert lost > 5
    assert {each.group.zone for each in orders} == {"b", "c"}
    assert {each.reason for each in orders} == {scaling.OrderReason.RECLAIMED}
    assert all(each.group.is_preemptible for each in orders)


def test_pinned_number_is_reached_and_kept():
    run = _start_run(state=dataclasses.replace(_START, pinned_count=24))
    run.advance(60)
    assert run.count() == 24
    run.change(demands={0: 80.0}, busy_count=80.0)
    run.advance(30)
    assert run.count() == 24


def test_zone_without_endpoints_gets_one():
    state = dataclasses.replace(
        _START,
        demands={},
        busy_count=0.0,
        endpoints=tuple(scaling.PresentEndpoint(each) for each in "aabb"))
    run = _start_run(state=state)
    run.advance(1)
    assert run.count("c", False) == 1
    assert run.orders[0].reason is scaling.OrderReason.MINIMUM


def test_service_without_parameters_is_forgotten():
    run = _start_run()
    run.advance(1)
    run.planner.observe(run.time, [])
    assert not run.planner.list_plans()
    assert not run.planner.plan_orders()


def test_order_names_its_inputs():
    run = _start_run()
    order = run.advance(0.5)[0]
    assert order.inputs["ready_in_all"] == 56
    assert order.inputs["wanted_in_all"] > 0


def test_nothing_is_removed_soon_after_a_gap_in_knowledge():
    # One sample after the gap does not show how much is needed.
    run = _start_run()
    run.advance(60)
    count = run.count()
    run.change(is_complete=False)
    run.advance(40)
    run.change(is_complete=True, demands={}, busy_count=0.0)
    run.advance(7.5)
    assert run.count() >= count
    run.advance(60)
    assert run.count() < count


def test_nothing_is_removed_from_a_group_with_a_call_in_flight():
    # Of two calls for a group, the older one may be executed last.
    run = _start_run()
    run.advance(60)
    surplus = tuple(scaling.PresentEndpoint("a") for _ in range(12))
    run.change(endpoints=run.state.endpoints + surplus)
    # Without an earlier order, all that is registered counts.
    run.planner.start_term(run.time)
    records = run.planner.list_records()
    for group, record in records.items():
        record.is_in_flight = not group.is_preemptible
    count = run.count("a", False)
    run.advance(20)
    assert run.count("a", False) == count
    records[scaling.EndpointGroup("engine", "a", False)].is_in_flight = False
    run.advance(20)
    assert run.count("a", False) < count


def test_services_are_planned_apart():
    planner = scaling.EndpointPlanner(lambda *_: False)
    other = dataclasses.replace(_START, service="other", pinned_count=80)
    planner.start_term(datetime.timedelta())
    planner.observe(datetime.timedelta(seconds=1), [_START, other])
    reasons = {
        each.group.service: each.reason for each in planner.plan_orders()
    }
    assert reasons == {
        "engine": scaling.OrderReason.RESERVE,
        "other": scaling.OrderReason.PINNED
    }
