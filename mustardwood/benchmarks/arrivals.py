"""Random request arrivals of a workload."""

import math
import random

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import class_mix
from mustardwood.benchmarks import scenario as scenario_module
from mustardwood.benchmarks import workload as workload_module

_MIN_TOKENS = 2


def draw_requests(workload: workload_module.Workload,
                  scenario: scenario_module.Scenario,
                  seed: int) -> list[bench_request.BenchRequest]:
    """Draws requests with Poisson arrivals and log-normal lengths.

    Args:
        workload: The traffic to draw from.
        scenario: Load over time.
        seed: Seed of the random number generators.

    Returns:
        The requests, ordered by arrival time.
    """
    requests: list[bench_request.BenchRequest] = []
    for mix in workload.mixes:
        rng = random.Random(f"{workload.name} {mix.class_name} {seed}")
        requests += _draw_class(workload, scenario, mix, rng)
    return sorted(requests, key=lambda each: each.arrival)


def _draw_class(workload: workload_module.Workload,
                scenario: scenario_module.Scenario, mix: class_mix.ClassMix,
                rng: random.Random) -> list[bench_request.BenchRequest]:
    max_utilisation = max(scenario.utilisation, scenario.burst_factor)
    max_rate = workload.compute_rate(mix, max_utilisation) / min(
        mix.work_share, 1.0)
    requests: list[bench_request.BenchRequest] = []
    seconds = 0.0
    while True:
        seconds += rng.expovariate(max_rate)
        if seconds >= scenario.duration:
            return requests
        rate = _compute_rate(workload, scenario, mix, seconds)
        if rng.random() * max_rate < rate:
            requests.append(
                _draw_request(workload, scenario, mix, rng, seconds,
                              len(requests)))


def _compute_rate(workload: workload_module.Workload,
                  scenario: scenario_module.Scenario, mix: class_mix.ClassMix,
                  seconds: float) -> float:
    base_rate = workload.compute_rate(mix, scenario.utilisation)
    in_burst = scenario.burst_start <= seconds < scenario.burst_end
    if not scenario.burst_factor or not in_burst:
        return base_rate
    if not scenario.burst_class:
        return workload.compute_rate(mix, scenario.burst_factor)
    if scenario.burst_class != mix.class_name:
        return base_rate
    added_utilisation = scenario.burst_factor - scenario.utilisation
    return base_rate + workload.compute_rate(mix,
                                             added_utilisation) / mix.work_share


def _draw_request(workload: workload_module.Workload,
                  scenario: scenario_module.Scenario, mix: class_mix.ClassMix,
                  rng: random.Random, seconds: float,
                  number: int) -> bench_request.BenchRequest:
    classes = {each.name: each for each in workload.document.classes}
    names = list(workload.organisation_weights)
    weights = list(workload.organisation_weights.values())
    prompt_length = rng.lognormvariate(math.log(mix.prompt_tokens), mix.sigma)
    median_output = mix.output_tokens * scenario.length_factor
    output_length = rng.lognormvariate(math.log(median_output), mix.sigma)
    prefix = 0
    if mix.prefix_count:
        prefix_number = rng.randrange(mix.prefix_count)
        prefix = hash((mix.work_share, prefix_number)) & 0xFFFFFFFF or 1
    return bench_request.BenchRequest(
        request_id=f"{mix.class_name}-{number}",
        arrival=seconds,
        request_class=classes[mix.class_name],
        organisation=rng.choices(names, weights)[0],
        vm=rng.choice(list(workload.vms)),
        prompt_tokens=max(_MIN_TOKENS, int(prompt_length)),
        output_tokens=min(max(_MIN_TOKENS, int(output_length)), mix.max_tokens),
        max_tokens=mix.max_tokens,
        prefix=prefix)
