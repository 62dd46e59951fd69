"""Measurement of how late the event loop runs its timers."""

import datetime

from mustardwood import dispatch
from mustardwood import timing

_INTERVAL = datetime.timedelta(milliseconds=200)
"""Interval between two measurements."""
_MIN_LOGGED_DELAY = datetime.timedelta(milliseconds=100)
"""Delay from which a measurement is logged."""


class EventLoopMonitor:
    """Logs when timers run late.

    The process was busy then, or it did not run: it was stopped, or had no
    processor.

    Attributes:
        total_delay: Sum of the delays that were logged.
    """

    def __init__(self, clock: timing.Clock, scheduler: dispatch.Scheduler,
                 journal: dispatch.Journal) -> None:
        """Creates a monitor; `start` starts it.

        Args:
            clock: The clock by which timers run.
            scheduler: Runs the timers.
            journal: Logs the delays.
        """
        self._clock = clock
        self._scheduler = scheduler
        self._journal = journal
        self._due_at = datetime.timedelta()
        self.total_delay = datetime.timedelta()

    def start(self) -> None:
        """Starts to measure."""
        self._due_at = self._clock.monotonic() + _INTERVAL
        self._scheduler.call_later(_INTERVAL, self._measure)

    def _measure(self) -> None:
        delay = self._clock.monotonic() - self._due_at
        if delay >= _MIN_LOGGED_DELAY:
            self.total_delay += delay
            self._journal.write("event_loop_late",
                                late_ms=round(
                                    delay / datetime.timedelta(milliseconds=1)))
        self.start()
