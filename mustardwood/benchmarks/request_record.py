"""Record of one request in a simulation."""

import dataclasses

from mustardwood.benchmarks import bench_request


@dataclasses.dataclass
class RequestRecord:
    """Times and outcome of one request; times are in seconds.

    Attributes:
        request: The request.
        started_at: Time at which the first attempt was sent; None if never.
        first_token_at: Time of the first token at the caller; None if none
            arrived.
        ended_at: Time of the final response; None while the request is open.
        is_complete: Whether the caller received the complete response.
        is_refused: Whether the request was refused before any attempt.
    """

    request: bench_request.BenchRequest
    started_at: float | None = None
    first_token_at: float | None = None
    ended_at: float | None = None
    is_complete: bool = False
    is_refused: bool = False

    @property
    def first_token_seconds(self) -> float:
        """Seconds from arrival to the first token; infinite if none arrived."""
        if self.first_token_at is None:
            return float("inf")
        return self.first_token_at - self.request.arrival

    @property
    def wait_seconds(self) -> float | None:
        """Seconds from arrival to the first attempt; None if never sent."""
        if self.started_at is None:
            return None
        return self.started_at - self.request.arrival

    @property
    def met_targets(self) -> bool:
        """Whether the response is complete and met both latency targets."""
        if (not self.is_complete or self.first_token_at is None or
                self.ended_at is None):
            return False
        request_class = self.request.request_class
        gaps = max(self.request.output_tokens - 1, 1)
        inter_token = (self.ended_at - self.first_token_at) / gaps
        return (self.first_token_seconds <= request_class.first_token_seconds
                and inter_token <= request_class.inter_token_seconds)
