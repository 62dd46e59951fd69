"""Adaptive limit of the requests that run on an endpoint at once."""

import datetime

from mustardwood.scheduling import inter_token_sample

_SMOOTHING = 0.2
"""Weight of a sample with full weight in the moving average."""
_DECREASE_THRESHOLD = 1.0
"""Ratio of inter-token time to target above which the limit decreases."""
_INCREASE_THRESHOLD = 0.9
"""Ratio of inter-token time to target below which the limit increases."""
_DECREASE_FACTOR = 0.93
_OVERLOAD_DECREASE_FACTOR = 0.8
_DECREASE_INTERVAL = datetime.timedelta(seconds=1)
_STRAGGLER_DECREASE_FACTOR = 0.25


class ConcurrencyLimit:
    """Adapts a limit by additive increase and multiplicative decrease [1]_.

    The input is the inter-token time relative to its target. The inter-token
    time grows with the engine's batch, so it shows whether the batch is too
    large for the targets. The time to the first token is not used, because it
    also grows with the length of the prompt.

    References:
        .. [1] D. Chiu and R. Jain, "Analysis of the increase and decrease
           algorithms for congestion avoidance in computer networks", Computer
           Networks and ISDN Systems 17(1), 1989.
    """

    def __init__(self, max_limit: int) -> None:
        self._max_limit = max(1, max_limit)
        self._limit = float(self._max_limit)
        self._latency_ratio: float | None = None
        self._decreased_at: datetime.timedelta | None = None

    @property
    def limit(self) -> int:
        """The current limit, from 1 to the configured maximum."""
        return max(1, min(int(self._limit), self._max_limit))

    def set_max_limit(self, max_limit: int) -> None:
        """Changes the configured maximum."""
        if self._limit >= self._max_limit:
            self._limit = float(max(1, max_limit))
        self._max_limit = max(1, max_limit)
        self._limit = min(self._limit, float(self._max_limit))

    def record_inter_token(self, sample: inter_token_sample.InterTokenSample,
                           now: datetime.timedelta) -> None:
        """Adapts the limit to the inter-token time of a complete answer."""
        ratio = sample.seconds / sample.target_seconds
        if self._latency_ratio is None:
            self._latency_ratio = ratio
        self._latency_ratio += _SMOOTHING * sample.weight * (
            ratio - self._latency_ratio)
        if self._latency_ratio > _DECREASE_THRESHOLD:
            self._decrease(_DECREASE_FACTOR, now)
        elif self._latency_ratio < _INCREASE_THRESHOLD:
            self._limit = min(float(self._max_limit),
                              self._limit + 1.0 / self._limit)

    def record_overload(self, now: datetime.timedelta) -> None:
        """Decreases the limit after the endpoint refused or timed out."""
        self._decrease(_OVERLOAD_DECREASE_FACTOR, now)

    def decrease_for_straggler(self, now: datetime.timedelta) -> None:
        """Decreases the limit to a quarter, for a straggler."""
        self._decrease(_STRAGGLER_DECREASE_FACTOR, now)

    def _decrease(self, factor: float, now: datetime.timedelta) -> None:
        last = self._decreased_at
        if last is not None and now - last < _DECREASE_INTERVAL:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * factor)
