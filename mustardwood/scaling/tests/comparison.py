"""Compares a static fleet, an oracle and the planner on modelled demand.

`python -m mustardwood.scaling.tests.comparison` prints the table of
docs/design/endpoint-scaling.md.
"""

import math

from mustardwood.scaling.tests import demand_model
from mustardwood.scaling.tests import duty_harness
from mustardwood.scaling.tests import fleet_model

LENGTH = 120.0
"""Length of a run, in seconds."""
_FORESIGHT = 2.0
"""Time beyond the boot time for which the oracle looks ahead, in seconds."""
_UTILIZATION = 0.95
"""Utilization that the oracle plans for."""


def make_scenarios():
    """Returns the demands, reclaims and errors of the estimate by name."""
    calm = demand_model.DemandModel(swing=0.27, period=17.0)
    waves = demand_model.DemandModel(swing=0.55, period=11.0)
    bursts = demand_model.make_bursts(10.0, LENGTH)
    mixed = demand_model.DemandModel(bursts=bursts)
    early = demand_model.DemandModel(
        bursts=(demand_model.Burst(0.5, 6.0, 2, 2.6),))
    heavy = demand_model.DemandModel(means=(13.0, 20.0, 17.0), bursts=bursts)
    reclaims = ((30.0, "a"), (65.0, "b"), (68.0, "c"))
    return {
        "waves of 17 s, swing 0.27": (calm, (), 1.0),
        "waves of 11 s, swing 0.55": (waves, (), 1.0),
        "burst from 0.5 s on": (early, (), 1.0),
        "bursts": (mixed, (), 1.0),
        "bursts and reclaims": (mixed, reclaims, 1.0),
        "the same, estimate 3 times too high": (mixed, reclaims, 3.0),
        "the same, estimate at 0.4": (mixed, reclaims, 0.4),
        "heavy load, bursts and reclaims": (heavy, reclaims, 1.0),
    }


def run_static(demand, length=LENGTH):
    """Returns the model after a run with the fleet of the start."""
    model = fleet_model.FleetModel(demand)
    while model.now < length - 1e-6:
        model.advance()
    return model


def run_oracle(demand, reclaims):
    """Returns the model after a run with a planner that knows the day."""
    model = fleet_model.FleetModel(demand)
    pending = dict(reclaims)
    step = 0
    while model.now < LENGTH - 1e-6:
        if step % 5 == 0:
            _order_ahead(model, demand, reclaims)
        model.advance()
        step += 1
        for time in [each for each in pending if each <= model.now]:
            model.reclaim(pending.pop(time))
    return model


def run_planner(demand, reclaims, error=1.0):
    """Returns the world after a run with the planner."""
    world = duty_harness.World(demand)
    world.error = error
    for time, zone in reclaims:
        world.at[time] = lambda zone=zone: world.model.reclaim(zone)
    world.run(LENGTH)
    return world


def _order_ahead(model, demand, reclaims):
    ahead = fleet_model.BOOT_TIME + _FORESIGHT
    count = math.ceil(
        max(
            sum(demand.find(model.now + each / 10.0))
            for each in range(int(ahead * 10))) / _UTILIZATION)
    safe = [
        zone for zone in fleet_model.PRICES
        if not any(zone == each and time - ahead < model.now < time + 12.5
                   for time, each in reclaims)
    ]
    left = count - len(fleet_model.PRICES)
    for number, zone in enumerate(safe):
        share = min(model.max_count - 1, math.ceil(left / (len(safe) - number)))
        room = model.max_count - _count_alive(model, zone, False)
        model.order(zone, min(share, room), True)
        left -= share
    if model.count(is_preemptible=True) < count - 3 - left:
        return
    others = [zone for zone in fleet_model.PRICES if zone not in safe]
    for zone in safe:
        model.order(zone, 1, False)
    for number, zone in enumerate(others):
        share = math.ceil(left / (len(others) - number))
        room = model.max_count - _count_alive(model, zone, True)
        model.order(zone, min(1 + share, room), False)
        left -= share


def _find_unmet_percent(model, tiers):
    return (100.0 * sum(model.unmet[each] for each in tiers) /
            sum(model.arrived[each] for each in tiers))


def _count_alive(model, zone, is_preemptible):
    return sum(each.zone == zone and each.is_preemptible == is_preemptible and
               each.draining_since == math.inf for each in model.endpoints)


def main():
    """Prints the table."""
    print("| load | static | oracle | planner | orders |")
    print("| --- | --- | --- | --- | --- |")
    for name, (demand, reclaims, error) in make_scenarios().items():
        world = run_planner(demand, reclaims, error)
        models = (run_static(demand), run_oracle(demand, reclaims), world.model)
        cells = [
            f"{each.priced_seconds / LENGTH:.1f}, "
            f"{_find_unmet_percent(each, (0, 1, 2)):.2f} "
            f"({_find_unmet_percent(each, (0,)):.2f}) %" for each in models
        ]
        print(f"| {name} | {' | '.join(cells)} | {len(world.calls.sent)} |")


if __name__ == "__main__":
    main()
