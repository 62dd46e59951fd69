"""Simulation of one policy in one scenario."""

import functools

from mustardwood.benchmarks import arrivals
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import policy as policy_module
from mustardwood.benchmarks import result as result_module
from mustardwood.benchmarks import scenario as scenario_module
from mustardwood.benchmarks import summary
from mustardwood.benchmarks import workload as workload_module
from mustardwood.benchmarks import environment as environment_module

_DRAIN_SECONDS = 700.0
"""Time after the last arrival; longer than the longest request deadline."""
_TIME_BETWEEN_CRASHES_SECONDS = 25.0
_CRASH_DOWNTIME_SECONDS = 20.0
_ZONE_LOSS_SECONDS = 60.0


def measure(workload: workload_module.Workload,
            scenario: scenario_module.Scenario, policy: policy_module.Policy,
            seed: int) -> result_module.Result:
    """Simulates a policy until all requests have ended.

    Args:
        workload: Traffic and endpoints.
        scenario: Load and faults.
        policy: A policy that was not used before.
        seed: Seed of the random number generators.

    Returns:
        Attainment, goodput and other results of the run.
    """
    environment = environment_module.Environment(workload, scenario, seed)
    policy.start(environment)
    for request in arrivals.draw_requests(workload, scenario, seed):
        environment.timeline.call_at(
            request.arrival,
            functools.partial(_deliver_request, environment, policy, request))
    _schedule_faults(environment, policy)
    environment.timeline.run_until(scenario.duration + _DRAIN_SECONDS)
    return summary.summarise(environment, policy, seed)


def _deliver_request(environment: environment_module.Environment,
                     policy: policy_module.Policy,
                     request: bench_request.BenchRequest) -> None:
    if request.vm in environment.lost_vms:
        usable = [
            vm for vm in environment.workload.vms
            if vm not in environment.lost_vms
        ]
        request = bench_request.move_request(request,
                                             environment.rng.choice(usable))
    policy.handle_request(request)


def _schedule_faults(environment: environment_module.Environment,
                     policy: policy_module.Policy) -> None:
    scenario = environment.scenario
    start = scenario.burst_start
    names = [each.name for each in environment.endpoints]
    if scenario.straggler_factor != 1.0:
        engine = environment.engines[names[0]]
        environment.timeline.call_at(
            start, lambda: engine.slow_down(scenario.straggler_factor))
    for index in range(scenario.crash_count):
        name = names[index % len(names)]
        environment.timeline.call_at(
            start + index * _TIME_BETWEEN_CRASHES_SECONDS,
            functools.partial(_crash, environment, name,
                              _CRASH_DOWNTIME_SECONDS))
    if scenario.owner_lost:
        environment.timeline.call_at(start, policy.kill_owner)
    if scenario.zone_lost:
        environment.timeline.call_at(start, lambda: _lose_zone(environment))


def _crash(environment: environment_module.Environment, name: str,
           seconds: float) -> None:
    environment.down_endpoints.add(name)
    environment.engines[name].crash()
    environment.timeline.call_later(
        seconds, lambda: environment.down_endpoints.discard(name))


def _lose_zone(environment: environment_module.Environment) -> None:
    zone = environment.endpoints[0].zone
    lost = {
        vm for vm, place in environment.workload.vms.items() if place == zone
    }
    environment.lost_vms |= lost
    for endpoint in environment.endpoints:
        if endpoint.zone == zone:
            _crash(environment, endpoint.name, _ZONE_LOSS_SECONDS)
    environment.timeline.call_later(
        _ZONE_LOSS_SECONDS,
        lambda: environment.lost_vms.difference_update(lost))
