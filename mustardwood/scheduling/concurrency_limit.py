"""The number of requests that may run on an endpoint at once."""

import datetime

from mustardwood.scheduling import pace_sample

_SMOOTHING = 0.2
"""Weight of a long and fresh sample in the moving average."""
_HIGH_PACE = 1.0
_LOW_PACE = 0.9
_DECREASE = 0.93
_OVERLOAD_DECREASE = 0.8
_DECREASE_INTERVAL = datetime.timedelta(seconds=1)
_STRAGGLER_SHARE = 0.25


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease [1]_ by the time of tokens.

    The time between tokens grows with the engine's batch, so it tells whether
    the batch is too large for the targets. The time to the first token does
    not: it also grows with the prompt.

    References:
        .. [1] D. Chiu and R. Jain, "Analysis of the increase and decrease
           algorithms for congestion avoidance in computer networks", Computer
           Networks and ISDN Systems 17(1), 1989.
    """

    def __init__(self, bound: int) -> None:
        self._bound = max(1, bound)
        self._limit = float(self._bound)
        self._pace: float | None = None
        self._decreased_at: datetime.timedelta | None = None

    @property
    def limit(self) -> int:
        """The limit, at least 1 and at most the configured bound."""
        return max(1, min(int(self._limit), self._bound))

    def set_bound(self, bound: int) -> None:
        """Changes the configured bound."""
        if self._limit >= self._bound:
            self._limit = float(max(1, bound))
        self._bound = max(1, bound)
        self._limit = min(self._limit, float(self._bound))

    def record_pace(self, sample: pace_sample.PaceSample,
                    now: datetime.timedelta) -> None:
        """Takes in the pace of a whole answer."""
        ratio = sample.seconds / sample.target_seconds
        if self._pace is None:
            self._pace = ratio
        self._pace += _SMOOTHING * sample.trust * (ratio - self._pace)
        if self._pace > _HIGH_PACE:
            self._decrease(_DECREASE, now)
        elif self._pace < _LOW_PACE:
            self._limit = min(float(self._bound),
                              self._limit + 1.0 / self._limit)

    def record_overload(self, now: datetime.timedelta) -> None:
        """Lowers the limit of an endpoint that refused for overload."""
        self._decrease(_OVERLOAD_DECREASE, now)

    def cut(self, now: datetime.timedelta) -> None:
        """Lowers the limit of a straggler to a quarter."""
        self._decrease(_STRAGGLER_SHARE, now)

    def _decrease(self, factor: float, now: datetime.timedelta) -> None:
        last = self._decreased_at
        if last is not None and now - last < _DECREASE_INTERVAL:
            return
        self._decreased_at = now
        self._limit = max(1.0, self._limit * factor)
