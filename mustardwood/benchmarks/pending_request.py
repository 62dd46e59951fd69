"""State of an unfinished request in a baseline policy."""

import dataclasses

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import sequence as sequence_module


@dataclasses.dataclass(eq=False)
class PendingRequest:
    """State of an unfinished request in a baseline policy.

    Attributes:
        request: The request.
        endpoint: Endpoint of the last attempt; empty before the first.
        sequence: The current attempt inside the modelled engine; None while
            the request waits.
        attempts: Number of attempts sent so far.
        is_over: Whether the caller received the final response.
    """

    request: bench_request.BenchRequest
    endpoint: str = ""
    sequence: sequence_module.Sequence | None = None
    attempts: int = 0
    is_over: bool = False
