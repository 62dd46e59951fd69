"""The delay before a failed call is repeated."""

import datetime

_MIN_DELAY = datetime.timedelta(milliseconds=300)
_MAX_DELAY = datetime.timedelta(seconds=3)
"""Bounds of the delay, which doubles with each failure."""


class RetryDelay:
    """Delay before the next try, by exponential backoff.

    Attributes:
        failures: Number of failures since the last success.
    """

    def __init__(self) -> None:
        self.failures = 0
        self._until = datetime.timedelta()

    def record_success(self) -> None:
        """Ends the delay."""
        self.failures = 0
        self._until = datetime.timedelta()

    def record_failure(self,
                       now: datetime.timedelta,
                       retry_after: datetime.timedelta | None = None) -> None:
        """Starts a delay.

        Args:
            now: Monotonic time.
            retry_after: Minimum delay that the response asks for, if any.
        """
        delay = min(_MIN_DELAY * 2**min(self.failures, 8), _MAX_DELAY)
        self.failures += 1
        self._until = now + (delay if retry_after is None else max(
            delay, retry_after))

    def is_over(self, now: datetime.timedelta) -> bool:
        """Returns whether the next try may be made."""
        return now >= self._until
