"""Runs of selected policies in selected scenarios."""

import collections.abc
import concurrent.futures
import dataclasses
import os

from mustardwood.benchmarks import least_outstanding
from mustardwood.benchmarks import measurement
from mustardwood.benchmarks import oracle
from mustardwood.benchmarks import policy as policy_module
from mustardwood.benchmarks import power_of_two
from mustardwood.benchmarks import result as result_module
from mustardwood.benchmarks import router_policy
from mustardwood.benchmarks import scenario as scenario_module
from mustardwood.benchmarks import scenarios
from mustardwood.benchmarks import strict_tiers
from mustardwood.benchmarks import workload as workload_module
from mustardwood.benchmarks import workloads

POLICIES: dict[str, collections.abc.Callable[[], policy_module.Policy]] = {
    "mustardwood": router_policy.RouterPolicy,
    "least outstanding": least_outstanding.LeastOutstanding,
    "power of two": power_of_two.PowerOfTwo,
    "strict tiers": strict_tiers.StrictTiers,
    "oracle": oracle.Oracle,
}
"""Factories of the policies, by name."""
WORKLOADS: dict[str, collections.abc.Callable[[], workload_module.Workload]] = {
    "tatra": workloads.make_tatra,
    "strih": workloads.make_strih,
}
"""Factories of the workloads, by name."""

_BURST_CLASSES = {
    "tatra": {
        "{long}": "reconciliation",
        "{short}": "tag"
    },
    "strih": {
        "{long}": "cutlist",
        "{short}": "shot_tag"
    },
}


@dataclasses.dataclass(frozen=True)
class Job:
    """Parameters of one simulation.

    Attributes:
        workload: Name of the workload.
        scenario: Load and faults.
        policy: Name of the policy.
        seed: Seed of the random number generators.
    """

    workload: str
    scenario: scenario_module.Scenario
    policy: str
    seed: int


def list_jobs(workload_names: collections.abc.Iterable[str],
              policy_names: collections.abc.Iterable[str], scenario_filter: str,
              seeds: collections.abc.Iterable[int]) -> list[Job]:
    """Lists a job for each combination of the arguments.

    Args:
        workload_names: Names of workloads.
        policy_names: Names of policies.
        scenario_filter: Substring of scenario names; empty for all scenarios.
        seeds: Seeds of the random number generators.
    """
    return [
        Job(workload, scenario, policy, seed)
        for workload in workload_names
        for scenario in scenarios.SCENARIOS if scenario_filter in scenario.name
        for policy in policy_names
        for seed in seeds
    ]


def run_jobs(jobs: collections.abc.Sequence[Job]) -> list[result_module.Result]:
    """Runs jobs on half of the processors; returns results in job order."""
    workers = max(1, (os.cpu_count() or 2) // 2)
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        return list(pool.map(run_job, jobs))


def run_job(job: Job) -> result_module.Result:
    """Runs one job and returns its result."""
    workload = WORKLOADS[job.workload]()
    burst = _BURST_CLASSES[job.workload].get(job.scenario.burst_class,
                                             job.scenario.burst_class)
    scenario = dataclasses.replace(job.scenario, burst_class=burst)
    return measurement.measure(workload, scenario, POLICIES[job.policy](),
                               job.seed)
