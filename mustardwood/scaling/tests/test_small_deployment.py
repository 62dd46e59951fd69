"""Replays of a deployment with few endpoints, none preemptible at the start."""

import pytest

from mustardwood.scaling.tests import demand_model
from mustardwood.scaling.tests import duty_harness
from mustardwood.scaling.tests import fleet_model

_LENGTH = 60.0
"""Length of a run, in seconds."""
_START_COUNTS = (4, 3, 3)
_MEANS = (1.6, 2.2, 1.8)
_BURSTS = demand_model.make_bursts(10.0, _LENGTH)


def _make_world(bursts=(), error=1.0, max_count=38):
    world = duty_harness.World(demand_model.DemandModel(means=_MEANS,
                                                        bursts=bursts),
                               start_counts=_START_COUNTS,
                               max_count=max_count)
    world.error = error
    return world


def _reclaim_two_zones(world, time):
    world.at[time] = lambda: world.model.reclaim("b")
    world.at[time + 0.4] = lambda: world.model.reclaim("c")


def _find_static_price():
    return _LENGTH * sum(
        count * price
        for count, price in zip(_START_COUNTS, fleet_model.PRICES.values()))


def _count_regular(world):
    """Returns those that are paid in full, whether they are ready or not."""
    return sum(not each.is_preemptible for each in world.model.endpoints)


def _check_zones(world):
    """Checks that each zone keeps a regular endpoint and its limit."""
    for zone in fleet_model.PRICES:
        assert world.model.count(zone, False) >= 1
        assert world.model.count(zone) <= world.model.max_count


@pytest.mark.parametrize("error", [0.4, 1.0])
@pytest.mark.parametrize("bursts", [(), _BURSTS])
def test_first_minute_costs_clearly_less_than_the_fleet_of_the_start(
        error, bursts):
    # The regular endpoints of the start were kept all day: removals were
    # spread over the zones and then too small for each of them.
    world = _make_world(bursts, error)
    world.run(_LENGTH, _check_zones)
    assert world.unmet_share == 0.0
    assert world.model.priced_seconds < 0.87 * _find_static_price()
    assert not world.model.above_limit


@pytest.mark.parametrize("error", [0.4, 1.0, 3.0])
@pytest.mark.parametrize("max_count", [8, 38])
def test_regular_endpoints_of_the_start_leave_once_others_are_ready(
        error, max_count):
    world = _make_world(error=error, max_count=max_count)
    world.run(10.0, _check_zones)
    # The margin after a new term ends at 8 s.
    assert world.model.count(is_preemptible=False) <= 5
    world.run(18.0, _check_zones)
    assert world.model.count(is_preemptible=False) <= 4
    assert world.unmet_share == 0.0


@pytest.mark.parametrize("error", [0.4, 1.0, 3.0])
@pytest.mark.parametrize("max_count", [8, 38])
def test_two_reclaimed_zones_are_replaced_by_preemptible_endpoints(
        error, max_count):
    # Regular ones were ordered up to the demand of all tiers and kept for 20 s.
    world = _make_world(_BURSTS, error, max_count)
    _reclaim_two_zones(world, 25.0)
    world.run(25.0, _check_zones)
    before = _count_regular(world)
    highest = []

    def watch(current):
        _check_zones(current)
        highest.append(_count_regular(current))

    world.run(42.0, watch)
    assert max(highest) <= before + 2
    world.run(_LENGTH, _check_zones)
    assert _count_regular(world) <= 4
    assert world.model.unmet[0] == 0.0
    assert world.model.unmet[1] == 0.0
    assert world.unmet_share <= 0.005


def test_regular_endpoints_ordered_after_a_reclaim_are_given_back():
    # The limit leaves too few preemptible ones in the remaining zone.
    world = duty_harness.World(demand_model.DemandModel(means=(3.6, 5.0, 1.2)),
                               start_counts=_START_COUNTS,
                               max_count=6)
    _reclaim_two_zones(world, 25.0)
    world.run(25.0, _check_zones)
    before = _count_regular(world)
    highest = []
    world.run(32.0, lambda current: highest.append(_count_regular(current)))
    assert max(highest) > before
    # Preemptible ones are ready at 44 s, and take the place of one regular
    # endpoint at a time where the limit of the zone leaves no more room.
    world.run(54.0, _check_zones)
    assert world.model.count(is_preemptible=False) <= before
    assert world.model.unmet[0] == 0.0
    # At this limit, the second tier waits at a crest until endpoints start.
    assert world.model.unmet[1] <= 0.006 * world.model.arrived[1]


@pytest.mark.parametrize("error", [0.4, 1.0, 3.0])
def test_start_takes_few_orders(error):
    # Each order is a priced call, and each registration ends all watches.
    world = _make_world(error=error)
    world.run(8.0, _check_zones)
    assert len(world.calls.sent) <= 6
