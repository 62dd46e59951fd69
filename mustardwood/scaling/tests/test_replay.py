"""Replays of load with reclaimed endpoints, faults and changes of holder."""

import pytest

from mustardwood.scaling.tests import comparison
from mustardwood.scaling.tests import demand_model
from mustardwood.scaling.tests import duty_harness
from mustardwood.scaling.tests import fleet_model

_BURSTS = demand_model.make_bursts(10.0, 100.0)


def _assert_limits(world):
    """Checks that no zone is empty or above its limit."""
    for zone in fleet_model.PRICES:
        assert 1 <= world.model.count(zone) <= world.model.max_count


@pytest.mark.parametrize("period", [11.0, 14.0, 17.0])
@pytest.mark.parametrize("swing", [0.27, 0.55])
def test_waves_are_served_for_less_than_a_static_fleet(period, swing):
    demand = demand_model.DemandModel(period=period, swing=swing)
    world = duty_harness.World(demand)
    world.run(100, _assert_limits)
    static = comparison.run_static(demand, 100)
    assert world.unmet_share == 0.0
    assert not world.model.above_limit
    assert world.model.priced_seconds < 0.75 * static.priced_seconds
    # Waves must not be followed with orders.
    assert len(world.calls.sent) <= 40


@pytest.mark.parametrize("error", [0.4, 1.0, 3.0])
def test_bursts_of_one_tier_after_the_other_are_served(error):
    world = duty_harness.World(demand_model.DemandModel(bursts=_BURSTS))
    world.error = error
    world.run(100, _assert_limits)
    assert world.unmet_share <= 0.005
    assert not world.model.above_limit
    static = comparison.run_static(world.model.demand, 100)
    assert world.model.priced_seconds < 0.9 * static.priced_seconds


@pytest.mark.parametrize("time", [25.0, 32.0, 41.0, 50.0])
@pytest.mark.parametrize("zone", list(fleet_model.PRICES))
def test_urgent_tiers_are_served_when_a_zone_reclaims_its_endpoints(time, zone):
    world = duty_harness.World(demand_model.DemandModel(bursts=_BURSTS))
    world.at[time] = lambda: world.model.reclaim(zone)
    world.run(100, _assert_limits)
    assert world.model.unmet[0] == 0.0
    assert world.model.unmet[1] == 0.0
    assert world.unmet_share <= 0.005
    assert not world.model.above_limit


def test_urgent_tiers_are_served_when_all_zones_reclaim_theirs():
    world = duty_harness.World(demand_model.DemandModel())
    for zone in fleet_model.PRICES:
        world.at[45.0 + len(world.at) * 0.2] = (
            lambda zone=zone: world.model.reclaim(zone))
    world.run(100, _assert_limits)
    assert world.model.unmet[0] == 0.0


def test_lost_and_late_calls_leave_demand_served():
    world = duty_harness.World(demand_model.DemandModel(bursts=_BURSTS))
    faults = (None, duty_harness.Outcome.NO_RESPONSE, None, "late", None,
              duty_harness.Outcome.RATE_LIMITED, duty_harness.Outcome.FAILED)
    world.calls.find_fault = lambda number: faults[number % len(faults)]
    world.at[40.0] = lambda: world.model.reclaim("b")
    world.run(100, _assert_limits)
    assert world.model.unmet[0] == 0.0
    assert world.unmet_share <= 0.03


@pytest.mark.parametrize("time", [3.0, 12.0, 30.5, 40.0])
def test_new_holder_goes_on_without_a_loss(time):
    # It knows no order of its predecessor, which may be in force still.
    world = duty_harness.World(demand_model.DemandModel(bursts=_BURSTS),
                               vm_count=2)
    world.at[30.0] = lambda: world.model.reclaim("c")
    world.at[time] = lambda: world.hold(1)
    removed = []

    def watch(current):
        _assert_limits(current)
        if time <= current.model.now < time + 7.0:
            removed.append(current.model.count(is_preemptible=False))

    world.run(100, watch)
    assert world.unmet_share <= 0.005
    assert world.vms[1].duty.results["accepted"]
    # It removes nothing until what was ordered before is registered.
    assert removed[-1] >= removed[20]


def test_incomplete_registrations_stop_all_orders():
    world = duty_harness.World(demand_model.DemandModel())
    world.run(30)
    count = len(world.calls.sent)
    world.is_complete = False
    world.run(60)
    assert len(world.calls.sent) == count


def test_holder_that_saw_the_demand_as_a_standby_plans_like_the_first():
    world = duty_harness.World(demand_model.DemandModel(), vm_count=2)
    world.run(30)
    plans = [each.planner.list_plans()["engine"] for each in world.vms]
    assert plans[0].wanted == plans[1].wanted


def test_plain_service_keeps_one_endpoint_in_each_zone():
    # 60 to 86 requests a second of 15 to 30 ms keep 2.6 of 18 slots busy.
    world = duty_harness.World(demand_model.DemandModel(means=(0.43,)),
                               start_counts=(1, 1, 1))
    world.run(60, _assert_limits)
    assert world.unmet_share == 0.0
    assert len(world.calls.sent) <= 4


def test_oracle_is_cheaper_than_the_planner_and_the_planner_than_static():
    demand = demand_model.DemandModel(bursts=_BURSTS)
    world = comparison.run_planner(demand, ())
    oracle = comparison.run_oracle(demand, ())
    static = comparison.run_static(demand)
    assert (oracle.priced_seconds < world.model.priced_seconds <
            static.priced_seconds)
