"""Delays between repeated calls."""

import datetime

from mustardwood import timing

RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
"""First delay before a call is repeated; it doubles each time."""

MAX_RETRY_INTERVAL = datetime.timedelta(seconds=10)
"""Longest delay before a call is repeated."""


class Backoff:
    """Exponential delay within a time limit."""

    def __init__(self, clock: timing.Clock,
                 timeout: datetime.timedelta) -> None:
        self._clock = clock
        self._end = clock.monotonic() + timeout
        self._delay = RETRY_INTERVAL

    def is_over(self) -> bool:
        """Whether the time limit has passed."""
        return self._clock.monotonic() >= self._end

    def next_delay(self) -> datetime.timedelta:
        """Returns the delay before the next call."""
        delay = self._delay
        self._delay = min(2 * delay, MAX_RETRY_INTERVAL)
        return delay
