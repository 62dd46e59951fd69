"""Exponential backoff with a time limit."""

import datetime

from mustardwood import timing

RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""Delay before the first retry; it doubles with each further retry."""

MAX_RETRY_INTERVAL = datetime.timedelta(seconds=10)
"""Upper bound on the delay before a retry."""


class Backoff:
    """Computes the delays between retries, and when to stop retrying.

    Args:
        clock: Clock that measures the time limit.
        timeout: Time from now until `is_expired` is true.
    """

    def __init__(self, clock: timing.Clock,
                 timeout: datetime.timedelta) -> None:
        self._clock = clock
        self._expires_at = clock.monotonic() + timeout
        self._delay = RETRY_INTERVAL

    def is_expired(self) -> bool:
        """Returns whether the time limit has passed."""
        return self._clock.monotonic() >= self._expires_at

    def next_delay(self) -> datetime.timedelta:
        """Returns the delay before the next retry, and doubles it."""
        delay = self._delay
        self._delay = min(2 * delay, MAX_RETRY_INTERVAL)
        return delay
