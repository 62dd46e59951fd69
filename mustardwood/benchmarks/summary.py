"""Computation of the result of a simulation."""

import collections
import math

from mustardwood import configuration
from mustardwood.benchmarks import policy as policy_module
from mustardwood.benchmarks import request_record
from mustardwood.benchmarks import result as result_module
from mustardwood.benchmarks import environment as environment_module

_Records = list[request_record.RequestRecord]


def summarise(environment: environment_module.Environment,
              policy: policy_module.Policy, seed: int) -> result_module.Result:
    """Computes the result of a finished simulation.

    Args:
        environment: Environment of the simulation.
        policy: The simulated policy.
        seed: Seed of the simulation.

    Returns:
        The result of all classes and of the whole run.
    """
    records = list(environment.recorder.records.values())
    generated = sum(
        each.generated_tokens for each in environment.engines.values())
    useful = _count_useful_tokens(records, environment.timeline.seconds)
    return result_module.Result(
        workload=environment.workload.name,
        scenario=environment.scenario.name,
        policy=policy.name,
        seed=seed,
        classes=tuple(
            _summarise_class(each, records)
            for each in environment.workload.document.classes),
        attainment=_compute_attainment(records),
        goodput=_count_useful_tokens(records, environment.scenario.duration) /
        environment.scenario.duration,
        wasted=max(0.0, 1.0 - useful / generated) if generated else 0.0,
        inversions=environment.recorder.inversions,
        fairness=_compute_fairness(records),
        control_kilobytes=policy.control_bytes / environment.timeline.seconds /
        1000)


def compute_percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile; 0 if there are no values.

    Examples:
        >>> compute_percentile([3.0, 1.0, 2.0], 0.5)
        2.0
    """
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered), math.ceil(share * len(ordered))) - 1]


def _summarise_class(request_class: configuration.RequestClass,
                     records: _Records) -> result_module.ClassResult:
    own = [
        each for each in records
        if each.request.request_class.name == request_class.name
    ]
    first_token_times = [
        each.first_token_seconds
        for each in own
        if each.first_token_at is not None
    ]
    waits = [each.wait_seconds for each in own if each.wait_seconds is not None]
    return result_module.ClassResult(
        name=request_class.name,
        tier=request_class.tier,
        asked=len(own),
        whole=sum(each.is_complete for each in own),
        refused=sum(each.is_refused for each in own),
        attainment=_compute_attainment(own),
        first_token_p95=compute_percentile(first_token_times, 0.95),
        longest_wait=max(waits, default=0.0))


def _compute_attainment(records: _Records) -> float:
    if not records:
        return 1.0
    return sum(each.met_targets for each in records) / len(records)


def _count_useful_tokens(records: _Records, until: float) -> int:
    return sum(each.request.output_tokens
               for each in records
               if each.is_complete and each.ended_at is not None and
               each.ended_at <= until)


def _compute_fairness(records: _Records) -> float:
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for each in records:
        tokens = each.request.output_tokens
        asked[each.request.organisation] += tokens
        served[each.request.organisation] += tokens if each.is_complete else 0
    shares = [served[name] / asked[name] for name in asked]
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares)**2 / (len(shares) * squares)
