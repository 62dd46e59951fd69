"""Results of the capacity benchmark."""

import msgspec

from mustardwood.benchmarks.capacity import agent_cost
from mustardwood.benchmarks.capacity import process_cost
from mustardwood.benchmarks.capacity import slope


class CapacityResult(msgspec.Struct, frozen=True):
    """Results of the capacity benchmark.

    Attributes:
        slopes: Linear fits of a cost over a size.
        idle: Cost of real processes without requests, by part.
        fleets: Cost of the agents in simulated time, by number of VMs.
        load_average: Load average of the machine over one minute, before and
            after the benchmark.
        cores: Number of processor cores of the machine.
    """

    slopes: tuple[slope.Slope, ...]
    idle: dict[str, process_cost.Idle]
    fleets: tuple[agent_cost.FleetResult, ...]
    load_average: tuple[float, float]
    cores: int
