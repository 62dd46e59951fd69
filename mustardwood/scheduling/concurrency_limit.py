"""The number of requests that may run on an endpoint at once."""

import datetime

_DECREASE = 0.8
_DECREASE_INTERVAL = datetime.timedelta(seconds=1)
_STRAGGLER_SHARE = 0.25


class ConcurrencyLimit:
    """Additive increase, multiplicative decrease [1]_ by measured times.

    References:
        .. [1] D. Chiu and R. Jain, "Analysis of the increase and decrease
           algorithms for congestion avoidance in computer networks", Computer
           Networks and ISDN Systems 17(1), 1989.
    """

    def __init__(self, bound: int) -> None:
        self._bound = max(1, bound)
        self._limit = float(self._bound)
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

    def record_within_target(self) -> None:
        """Raises the limit by about one for each limit of good answers."""
        self._limit = min(float(self._bound), self._limit + 1.0 / self._limit)

    def record_over_target(self, now: datetime.timedelta) -> None:
        """Lowers the limit, at most once in a second."""
        if self._may_decrease(now):
            self._limit = max(1.0, self._limit * _DECREASE)

    def cut(self, now: datetime.timedelta) -> None:
        """Lowers the limit of a straggler to a quarter."""
        if self._may_decrease(now):
            self._limit = max(1.0, self._limit * _STRAGGLER_SHARE)

    def _may_decrease(self, now: datetime.timedelta) -> bool:
        last = self._decreased_at
        if last is not None and now - last < _DECREASE_INTERVAL:
            return False
        self._decreased_at = now
        return True
