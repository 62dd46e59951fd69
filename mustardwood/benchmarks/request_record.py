"""What happened to one request of a measurement."""

import dataclasses

from mustardwood.benchmarks import bench_request


@dataclasses.dataclass
class RequestRecord:
    """Times and end of one request.

    Attributes:
        request: The request.
        started: Time of the first send to an engine; None if never sent.
        first: Time of the first token at the caller; None if none came.
        end: Time of the final answer; None while open.
        whole: Whether the answer is whole.
        refused: Whether it was refused without a run.
    """

    request: bench_request.BenchRequest
    started: float | None = None
    first: float | None = None
    end: float | None = None
    whole: bool = False
    refused: bool = False

    @property
    def first_token_seconds(self) -> float:
        """Time from arrival to the first token; infinite if none came."""
        if self.first is None:
            return float("inf")
        return self.first - self.request.arrival

    @property
    def wait_seconds(self) -> float | None:
        """Time from arrival to the first send; None if never sent."""
        if self.started is None:
            return None
        return self.started - self.request.arrival

    @property
    def attained(self) -> bool:
        """Whether the answer is whole and met both targets."""
        if not self.whole or self.first is None or self.end is None:
            return False
        request_class = self.request.request_class
        gaps = max(self.request.output_tokens - 1, 1)
        inter_token = (self.end - self.first) / gaps
        return (self.first_token_seconds <= request_class.first_token_seconds
                and inter_token <= request_class.inter_token_seconds)
