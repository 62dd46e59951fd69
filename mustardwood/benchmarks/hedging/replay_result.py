"""Result of a replay."""

import collections.abc
import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class ReplayResult:
    """What the callers of requests that may be repeated got, and what it cost.

    Attributes:
        first_byte_seconds: Times from the arrival of a request to the first
            byte of its response, in seconds, in ascending order. Requests
            without one are left out.
        unanswered: Number of requests without a response.
        hedges: Number of hedged requests.
        wins: Number of them that were answered before the first attempt.
        overlap_seconds: Time for which two endpoints ran the same request.
        busy_seconds: Time in which slots or engines were busy.
    """

    first_byte_seconds: tuple[float, ...]
    unanswered: int
    hedges: int
    wins: int
    overlap_seconds: float
    busy_seconds: float

    @classmethod
    def from_parts(
            cls,
            parts: collections.abc.Sequence["ReplayResult"]) -> "ReplayResult":
        """Returns the sum of several results."""
        return cls(
            tuple(
                sorted(seconds for each in parts
                       for seconds in each.first_byte_seconds)),
            sum(each.unanswered for each in parts),
            sum(each.hedges for each in parts),
            sum(each.wins for each in parts),
            sum(each.overlap_seconds for each in parts),
            sum(each.busy_seconds for each in parts))

    @property
    def requests(self) -> int:
        """Number of requests."""
        return len(self.first_byte_seconds) + self.unanswered

    def find_quantile(self, quantile: float) -> float:
        """Returns a quantile of the times to the first byte, in seconds."""
        times = self.first_byte_seconds
        if not times:
            return math.inf
        return times[min(len(times) - 1, math.ceil(quantile * len(times)) - 1)]
