"""A measurement of an endpoint's pace."""

import dataclasses

_FULL_WEIGHT_TOKENS = 32
"""Length of an answer whose mean time between tokens is fully trusted."""
_FULL_WEIGHT_SECONDS = 5.0
"""Duration of an answer up to which its mean tells of the present."""


@dataclasses.dataclass(frozen=True)
class InterTokenSample:
    """The mean time between the tokens of one whole answer.

    Attributes:
        seconds: The mean time.
        target_seconds: The class's target for it.
        tokens: Length of the answer.
        running: Attempts that ran on the endpoint beside it.
    """

    seconds: float
    target_seconds: float
    tokens: int
    running: int

    @property
    def weight(self) -> float:
        """Weight from 0 to 1; short and long-lasting answers weigh less."""
        length_weight = min(1.0, self.tokens / _FULL_WEIGHT_TOKENS)
        duration = max(self.seconds * self.tokens, 0.001)
        return length_weight * min(1.0, _FULL_WEIGHT_SECONDS / duration)
