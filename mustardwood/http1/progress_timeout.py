"""Timeouts that bound the silence of a transfer, not its length."""

import collections.abc
import datetime

from mustardwood import dispatch

_PERIOD = datetime.timedelta(milliseconds=600)
"""Period in which a response that has begun has to make progress."""
_MIN_BYTES_PER_PERIOD = 4 * 1024
"""Number of bytes in a period that is progress, about 55 kbit/s.

A server that sends a byte now and then makes none.
"""


class ProgressTimeout:
    """Ends a call whose response does not begin in time, or stalls.

    Load pattern: large responses over slow links. A limit on the whole transfer
    would throw away what has arrived just before the end, and the next try
    would begin anew, with more to transfer and less of the link for it.

    Attributes:
        has_begun: Whether the body has begun to arrive.
    """

    def __init__(self, scheduler: dispatch.Scheduler,
                 first_timeout: datetime.timedelta,
                 on_timeout: collections.abc.Callable[[], None]) -> None:
        """Starts the timeout.

        Args:
            scheduler: Schedules the checks.
            first_timeout: Time within which the response's body must begin.
            on_timeout: Called once if there is no progress.
        """
        self._scheduler = scheduler
        self._on_timeout = on_timeout
        self._received_bytes = 0
        self.has_begun = False
        self._timer = scheduler.call_later(first_timeout, on_timeout)

    def record(self, count: int) -> None:
        """Records a number of received bytes of the body."""
        self._received_bytes += count
        if not self.has_begun:
            self.has_begun = True
            self._timer.cancel()
            self._timer = self._scheduler.call_later(_PERIOD, self._check)

    def cancel(self) -> None:
        """Stops the timeout."""
        self._timer.cancel()

    def _check(self) -> None:
        if self._received_bytes < _MIN_BYTES_PER_PERIOD:
            self._on_timeout()
            return
        self._received_bytes = 0
        self._timer = self._scheduler.call_later(_PERIOD, self._check)
