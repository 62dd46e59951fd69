"""The rate limit of calls."""

import datetime


class RateLimit:
    """A token bucket that holds one second's worth of calls.

    Args:
        calls_per_second: Rate; 0 for no limit.
        now: Monotonic time.

    Examples:
        >>> import datetime
        >>> limit = RateLimit(2.0, datetime.timedelta())
        >>> [limit.take(datetime.timedelta()) for _ in range(3)]
        [True, True, False]
        >>> limit.take(datetime.timedelta(seconds=0.5))
        True
    """

    def __init__(self, calls_per_second: float,
                 now: datetime.timedelta) -> None:
        self._rate = calls_per_second
        self._capacity = max(1.0, calls_per_second)
        self._tokens = self._capacity
        self._filled_at = now

    def take(self, now: datetime.timedelta) -> bool:
        """Returns whether one more call is within the limit."""
        if not self._rate:
            return True
        elapsed = (now - self._filled_at).total_seconds()
        self._filled_at = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
