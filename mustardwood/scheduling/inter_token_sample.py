"""Measurement of the inter-token time of an endpoint."""

import dataclasses

_FULL_WEIGHT_TOKENS = 32
"""Length from which on an answer's mean inter-token time has full weight."""
_FULL_WEIGHT_SECONDS = 5.0
"""Duration up to which an answer's mean describes the present load."""


@dataclasses.dataclass(frozen=True)
class InterTokenSample:
    """The mean inter-token time of one complete answer.

    Attributes:
        seconds: Mean inter-token time.
        target_seconds: Target of the request's class for it.
        tokens: Length of the answer.
        running: Number of attempts that ran on the endpoint at the end of the
            answer, this one included.
    """

    seconds: float
    target_seconds: float
    tokens: int
    running: int

    @property
    def weight(self) -> float:
        """Weight of the sample, from 0 to 1.

        The mean of a short answer is imprecise, and that of an answer which
        took long describes the past; both have less weight.
        """
        length_weight = min(1.0, self.tokens / _FULL_WEIGHT_TOKENS)
        duration = max(self.seconds * self.tokens, 0.001)
        return length_weight * min(1.0, _FULL_WEIGHT_SECONDS / duration)
