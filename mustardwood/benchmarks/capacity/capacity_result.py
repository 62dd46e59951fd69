"""Results of the measurement."""

import msgspec

from mustardwood.benchmarks.capacity import agent_cost
from mustardwood.benchmarks.capacity import process_cost
from mustardwood.benchmarks.capacity import slope


class CapacityResult(msgspec.Struct, frozen=True):
    """All that was measured.

    Attributes:
        slopes: Costs by size.
        idle: Real processes without requests, by part.
        fleets: Agents in virtual time, by number of VMs.
        load_average: The machine's load before and after.
        cores: Its processor cores.
    """

    slopes: tuple[slope.Slope, ...]
    idle: dict[str, process_cost.Idle]
    fleets: tuple[agent_cost.FleetResult, ...]
    load_average: tuple[float, float]
    cores: int
