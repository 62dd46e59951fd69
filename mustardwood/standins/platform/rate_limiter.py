"""Limits the rate of requests."""

import datetime


class RateLimiter:
    """A token bucket whose capacity is one second of requests.

    Args:
        calls_per_second: Permitted requests per second; 0 for no limit.
        now: Current monotonic time.

    Examples:
        >>> import datetime
        >>> limiter = RateLimiter(2.0, datetime.timedelta())
        >>> [limiter.take(datetime.timedelta()) for _ in range(3)]
        [True, True, False]
        >>> limiter.take(datetime.timedelta(seconds=0.5))
        True
    """

    def __init__(self, calls_per_second: float,
                 now: datetime.timedelta) -> None:
        self._rate = calls_per_second
        self._capacity = max(1.0, calls_per_second)
        self._tokens = self._capacity
        self._refilled_at = now

    def take(self, now: datetime.timedelta) -> bool:
        """Takes a token if there is one; returns whether there was."""
        if not self._rate:
            return True
        elapsed = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(self._capacity, self._tokens + elapsed * self._rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
