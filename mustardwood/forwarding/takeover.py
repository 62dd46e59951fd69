"""Takeover of a request from a silent endpoint."""

import collections.abc
import datetime

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import forwarding_context

_MAX_TIME = datetime.timedelta(milliseconds=400)
"""Time within which an endpoint drops a request whose sender has closed."""


class Takeover:
    """Waits for what a silent endpoint does before another one is used.

    The sending direction of its connection is closed, by which most endpoints
    drop a request. The receiving direction is read on, so that one of three
    things follows:

    * the endpoint closes the connection, too, and no longer works on the
      request;
    * it goes on with the response, since it does not drop such a request or has
      not noticed yet, and the request is sent to no other endpoint;
    * nothing, and the connection is reset after a time. It is open then whether
      the endpoint still works on the request.

    Attributes:
        attempt: The attempt at the silent endpoint.
    """

    def __init__(self, attempt: attempt_record.AttemptRecord,
                 context: forwarding_context.ForwardingContext,
                 on_timeout: collections.abc.Callable[[], None]) -> None:
        """Creates a takeover; `start` begins it.

        Args:
            attempt: The attempt, whose request was written.
            context: Objects that all requests share.
            on_timeout: Called if nothing has followed in time.
        """
        self.attempt = attempt
        self._context = context
        self._on_timeout = on_timeout
        self._timer: forwarding_context.Timer | None = None

    def start(self) -> None:
        """Closes the sending direction of the attempt's connection."""
        attempt = self.attempt
        attempt.was_cut_off = True
        attempt.ended_sending_at = self._context.clock.monotonic()
        self._timer = self._context.scheduler.call_later(
            _MAX_TIME, self._confirm_timeout)
        if attempt.handle is not None:
            attempt.handle.end_sending()

    def cancel(self) -> None:
        """Ends the wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _confirm_timeout(self) -> None:
        """Lets data be read that has arrived before the end of the time.

        Timers run before sockets are read, also after a suspension of the VM.
        """
        self._timer = self._context.scheduler.call_later(
            datetime.timedelta(), self._on_timeout)
