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
    started_at: float | None = None
    first_token_at: float | None = None
    ended_at: float | None = None
    is_complete: bool = False
    is_refused: bool = False

    @property
    def first_token_seconds(self) -> float:
        """Time from arrival to the first token; infinite if none came."""
        if self.first_token_at is None:
            return float("inf")
        return self.first_token_at - self.request.arrival

    @property
    def wait_seconds(self) -> float | None:
        """Time from arrival to the first send; None if never sent."""
        if self.started_at is None:
            return None
        return self.started_at - self.request.arrival

    @property
    def met_targets(self) -> bool:
        """Whether the answer is whole and met both targets."""
        if not self.is_complete or self.first_token_at is None or self.ended_at is None:
            return False
        request_class = self.request.request_class
        gaps = max(self.request.output_tokens - 1, 1)
        inter_token = (self.ended_at - self.first_token_at) / gaps
        return (self.first_token_seconds <= request_class.first_token_seconds
                and inter_token <= request_class.inter_token_seconds)
