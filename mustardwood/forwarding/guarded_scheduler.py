"""Scheduled calls of one request whose errors end that request."""

import collections.abc
import datetime

from mustardwood.dispatch import forwarding_context


class GuardedScheduler:
    """Schedules calls; implements `forwarding_context.Scheduler`.

    The event loop only logs an unexpected error of a call. The request would
    stay open, and its caller would wait until the deadline.
    """

    def __init__(self, scheduler: forwarding_context.Scheduler,
                 on_error: collections.abc.Callable[[Exception], None]) -> None:
        """Creates a scheduler.

        Args:
            scheduler: Schedules the calls.
            on_error: Called with an error that a call has raised.
        """
        self._scheduler = scheduler
        self._on_error = on_error

    def call_later(
        self, delay: datetime.timedelta,
        function: collections.abc.Callable[[],
                                           None]) -> forwarding_context.Timer:
        """See `forwarding_context.Scheduler`."""
        return self._scheduler.call_later(delay, lambda: self.run(function))

    def run(self, function: collections.abc.Callable[[], None]) -> None:
        """Calls a function and passes on its error, if it raises one."""
        try:
            function()
        except Exception as error:  # pylint: disable=broad-exception-caught
            self._on_error(error)
