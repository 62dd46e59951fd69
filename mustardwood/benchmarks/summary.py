"""Computation of a run's result."""

import collections
import math

from mustardwood import configuration
from mustardwood.benchmarks import policy as policy_module
from mustardwood.benchmarks import request_record
from mustardwood.benchmarks import result as result_module
from mustardwood.benchmarks import world as world_module

_Records = list[request_record.RequestRecord]


def summarise(world: world_module.World, policy: policy_module.Policy,
              seed: int) -> result_module.Result:
    """Computes the result of a run that has ended.

    Args:
        world: The world of the run.
        policy: The policy that was measured.
        seed: Seed of the run.

    Returns:
        The result.
    """
    records = list(world.recorder.records.values())
    made = sum(each.tokens_made for each in world.engines.values())
    useful = _count_useful(records, world.timeline.seconds)
    return result_module.Result(
        workload=world.workload.name,
        scenario=world.scenario.name,
        policy=policy.name,
        seed=seed,
        classes=tuple(
            _summarise_class(each, records)
            for each in world.workload.document.classes),
        attainment=_compute_share(records),
        goodput=_count_useful(records, world.scenario.duration) /
        world.scenario.duration,
        wasted=max(0.0, 1.0 - useful / made) if made else 0.0,
        inversions=world.recorder.inversions,
        fairness=_compute_fairness(records),
        control_kilobytes=policy.control_bytes / world.timeline.seconds / 1000)


def compute_percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile; 0 of no values.

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
    firsts = [
        each.first_token_seconds for each in own if each.first is not None
    ]
    waits = [each.wait_seconds for each in own if each.wait_seconds is not None]
    return result_module.ClassResult(name=request_class.name,
                                     tier=request_class.tier,
                                     asked=len(own),
                                     whole=sum(each.whole for each in own),
                                     refused=sum(each.refused for each in own),
                                     attainment=_compute_share(own),
                                     first_token_p95=compute_percentile(
                                         firsts, 0.95),
                                     longest_wait=max(waits, default=0.0))


def _compute_share(records: _Records) -> float:
    if not records:
        return 1.0
    return sum(each.attained for each in records) / len(records)


def _count_useful(records: _Records, until: float) -> int:
    return sum(each.request.output_tokens
               for each in records
               if each.whole and each.end is not None and each.end <= until)


def _compute_fairness(records: _Records) -> float:
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    for each in records:
        tokens = each.request.output_tokens
        asked[each.request.organisation] += tokens
        served[each.request.organisation] += tokens if each.whole else 0
    shares = [served[name] / asked[name] for name in asked]
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares)**2 / (len(shares) * squares)
