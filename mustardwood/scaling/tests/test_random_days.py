"""Replays of random load and failures, which check what must always hold."""

import random

import pytest

from mustardwood.scaling.tests import demand_model
from mustardwood.scaling.tests import duty_harness
from mustardwood.scaling.tests import fleet_model

_LENGTH = 100.0
"""Length of a run, in seconds."""
_ZONES = list(fleet_model.PRICES)
_FAULTS = (duty_harness.Outcome.NO_RESPONSE, "late",
           duty_harness.Outcome.RATE_LIMITED, duty_harness.Outcome.FAILED)


def make_world(seed):
    """Returns a world with random load, reclaims, faults and holders."""
    rng = random.Random(seed)
    scale = rng.uniform(0.4, 1.2)
    demand = demand_model.DemandModel(
        means=tuple(scale * each for each in (8.0, 12.0, 10.0)),
        period=rng.uniform(11.0, 17.0),
        swing=rng.uniform(0.27, 0.55),
        bursts=demand_model.make_bursts(rng.uniform(0.5, 20.0), _LENGTH))
    world = duty_harness.World(demand, vm_count=3)
    world.error = rng.choice((0.4, 1.0, 2.0, 3.0))
    time = rng.uniform(5.0, 25.0)
    while time < _LENGTH:
        zone = rng.choice(_ZONES)
        world.at[time] = lambda zone=zone: world.model.reclaim(zone)
        time += rng.uniform(20.0, 40.0)
    for _ in range(rng.randrange(3)):
        time, holder = rng.uniform(1.0, _LENGTH), rng.randrange(3)
        world.at[time] = lambda holder=holder: world.hold(holder)
    fault_share = rng.choice((0.0, 0.1, 0.3))
    world.calls.find_fault = lambda number: (rng.choice(_FAULTS) if rng.random(
    ) < fault_share else None)
    return world


def check_limits(world):
    """Checks that no zone is empty, and that regular endpoints remain."""
    for zone in _ZONES:
        assert world.model.count(zone) >= 1, (world.model.now, zone)
        assert world.model.count(zone, False) >= 1, (world.model.now, zone)


@pytest.mark.parametrize("seed", range(6))
def test_urgent_demand_is_served_at_a_bounded_price(seed):
    world = make_world(seed)
    world.run(_LENGTH, check_limits)
    assert world.model.unmet[0] == 0.0
    assert world.unmet_share <= 0.02
    # Long reclaims under heavy load need as many regular endpoints.
    assert world.model.priced_seconds < 1.2 * 56.8 * _LENGTH
    assert len(world.calls.sent) <= 0.6 * _LENGTH
    # A new holder doesn't know what is starting, and late orders come back.
    assert len(world.model.above_limit) <= 3
