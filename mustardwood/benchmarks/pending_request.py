"""A request under way in a baseline policy."""

import dataclasses

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import sequence as sequence_module


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """A baseline's state of one request.

    Attributes:
        request: The request.
        endpoint: Endpoint that runs it; empty while none does.
        sequence: Its present attempt in the engine.
        attempts: Number of sends so far.
        is_over: Whether its final answer was given.
    """

    request: bench_request.BenchRequest
    endpoint: str = ""
    sequence: sequence_module.Sequence | None = None
    attempts: int = 0
    is_over: bool = False
