"""Scheduler and clock of modelled processes."""

import collections.abc
import datetime

from mustardwood.benchmarks import timeline as timeline_module

_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class _Timer:

    def __init__(self, function: collections.abc.Callable[[], None]) -> None:
        self._function: collections.abc.Callable[[], None] | None = function

    def run(self) -> None:
        """Makes the call unless it was cancelled."""
        function, self._function = self._function, None
        if function is not None:
            function()

    def cancel(self) -> None:
        """Cancels the call."""
        self._function = None


class Scheduler:
    """Adapts a timeline to the interfaces of a clock and a scheduler."""

    def __init__(self, timeline: timeline_module.Timeline) -> None:
        self._timeline = timeline

    def now(self) -> datetime.datetime:
        """See `timing.Clock`."""
        return _START + self._timeline.now

    def monotonic(self) -> datetime.timedelta:
        """See `timing.Clock`."""
        return self._timeline.now

    def call_later(self, delay: datetime.timedelta,
                   function: collections.abc.Callable[[], None]) -> _Timer:
        """See `dispatch.Scheduler`."""
        timer = _Timer(function)
        self._timeline.call_later(delay.total_seconds(), timer.run)
        return timer
