"""A limit on the rate of a VM's writes to the key-value service."""

import datetime

WRITES_PER_SECOND = 20.0
"""Sustained rate of one VM's writes for claims."""

BURST_WRITES = 40.0
"""Writes that a VM may make at once after a time without writes."""


class WriteRateLimiter:
    """A token bucket in which each token permits one write.

    Args:
        rate: Tokens added per second.
        burst: Capacity of the bucket in tokens; it starts full.

    References:
        J. Turner, "New directions in communications", IEEE Communications
        Magazine 24(10), 1986.

    Examples:
        >>> limit = WriteRateLimiter(rate=2.0, burst=1.0)
        >>> limit.take(1, datetime.timedelta())
        datetime.timedelta(0)
        >>> limit.take(1, datetime.timedelta()).total_seconds()
        0.5
    """

    def __init__(self,
                 rate: float = WRITES_PER_SECOND,
                 burst: float = BURST_WRITES) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at: datetime.timedelta | None = None

    def take(self, writes: int, now: datetime.timedelta) -> datetime.timedelta:
        """Takes the tokens for some writes if there are enough.

        Args:
            writes: Number of writes.
            now: Current monotonic time.

        Returns:
            Zero when the tokens were taken. Otherwise none was taken, and the
            time until there will be enough is returned.
        """
        self._refill(now)
        if self._tokens >= writes:
            self._tokens -= writes
            return datetime.timedelta()
        missing_tokens = writes - self._tokens
        return datetime.timedelta(seconds=missing_tokens / self._rate)

    def _refill(self, now: datetime.timedelta) -> None:
        if self._refilled_at is not None:
            elapsed_seconds = (now - self._refilled_at).total_seconds()
            self._tokens = min(self._burst,
                               self._tokens + elapsed_seconds * self._rate)
        self._refilled_at = now
