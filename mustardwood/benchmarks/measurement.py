"""One run of a policy in a scenario."""

import functools

from mustardwood.benchmarks import arrivals
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import policy as policy_module
from mustardwood.benchmarks import result as result_module
from mustardwood.benchmarks import scenario as scenario_module
from mustardwood.benchmarks import summary
from mustardwood.benchmarks import workload as workload_module
from mustardwood.benchmarks import world as world_module

_DRAIN_SECONDS = 700.0
_CRASH_INTERVAL_SECONDS = 25.0
_CRASH_SECONDS = 20.0
_ZONE_LOSS_SECONDS = 60.0


def measure(workload: workload_module.Workload,
            scenario: scenario_module.Scenario, policy: policy_module.Policy,
            seed: int) -> result_module.Result:
    """Runs a policy to the end of all requests.

    Args:
        workload: Whose traffic.
        scenario: Load and faults.
        policy: A fresh policy.
        seed: Seed of the random numbers.

    Returns:
        The result.
    """
    world = world_module.World(workload, scenario, seed)
    policy.start(world)
    for request in arrivals.draw_requests(workload, scenario, seed):
        world.timeline.call_at(
            request.arrival, functools.partial(_arrive, world, policy, request))
    _schedule_faults(world, policy)
    world.timeline.run_until(scenario.duration + _DRAIN_SECONDS)
    return summary.summarise(world, policy, seed)


def _arrive(world: world_module.World, policy: policy_module.Policy,
            request: bench_request.BenchRequest) -> None:
    if request.vm in world.lost_vms:
        usable = [vm for vm in world.workload.vms if vm not in world.lost_vms]
        request = bench_request.move_request(request, world.rng.choice(usable))
    policy.arrive(request)


def _schedule_faults(world: world_module.World,
                     policy: policy_module.Policy) -> None:
    scenario = world.scenario
    start = scenario.burst_start
    names = [each.name for each in world.endpoints]
    if scenario.straggler_factor != 1.0:
        engine = world.engines[names[0]]
        world.timeline.call_at(
            start, lambda: engine.slow_down(scenario.straggler_factor))
    for index in range(scenario.crash_count):
        name = names[index % len(names)]
        world.timeline.call_at(
            start + index * _CRASH_INTERVAL_SECONDS,
            functools.partial(_crash, world, name, _CRASH_SECONDS))
    if scenario.owner_lost:
        world.timeline.call_at(start, policy.lose_owner)
    if scenario.zone_lost:
        world.timeline.call_at(start, lambda: _lose_zone(world))


def _crash(world: world_module.World, name: str, seconds: float) -> None:
    world.down.add(name)
    world.engines[name].crash()
    world.timeline.call_later(seconds, lambda: world.down.discard(name))


def _lose_zone(world: world_module.World) -> None:
    zone = world.endpoints[0].zone
    lost = {vm for vm, place in world.workload.vms.items() if place == zone}
    world.lost_vms |= lost
    for endpoint in world.endpoints:
        if endpoint.zone == zone:
            _crash(world, endpoint.name, _ZONE_LOSS_SECONDS)
    world.timeline.call_later(_ZONE_LOSS_SECONDS,
                              lambda: world.lost_vms.difference_update(lost))
