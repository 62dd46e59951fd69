"""A limit on the rate of one VM's writes."""

import datetime

WRITES_PER_SECOND = 20.0
"""Writes a second that one VM spends on claims."""

BURST_WRITES = 40.0
"""Writes that a VM may do at once after a pause."""


class WriteRateLimiter:
    """A token bucket.

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
        self._filled_at: datetime.timedelta | None = None

    def take(self, writes: int, now: datetime.timedelta) -> datetime.timedelta:
        """Takes room for some writes.

        Args:
            writes: How many writes.
            now: Monotonic time.

        Returns:
            Zero when the room was taken, else how long to wait; then nothing
            was taken.
        """
        self._fill(now)
        if self._tokens >= writes:
            self._tokens -= writes
            return datetime.timedelta()
        missing = writes - self._tokens
        return datetime.timedelta(seconds=missing / self._rate)

    def _fill(self, now: datetime.timedelta) -> None:
        if self._filled_at is not None:
            passed = (now - self._filled_at).total_seconds()
            self._tokens = min(self._burst, self._tokens + passed * self._rate)
        self._filled_at = now
