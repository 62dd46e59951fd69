"""The planned stop of the process."""

import collections.abc
import datetime
import typing

from mustardwood import dispatch
from mustardwood.platform import request_server

_LISTEN_ON = datetime.timedelta(milliseconds=2300)
"""Time after the signal to stop in which new connections are accepted.

The balancer asks every second and takes two misses.
"""
_SETTLE = datetime.timedelta(milliseconds=200)
"""Time for the requests on connections that were accepted last."""
_MARGIN = datetime.timedelta(milliseconds=400)
"""Time before the signal to kill at which the process ends anyway."""
_POLL = datetime.timedelta(milliseconds=50)
"""Interval between looks whether the last request has ended."""


class GracefulShutdown:
    """Ends the process when its last request has been answered.

    Attributes:
        is_begun: Whether the stop has begun.
    """

    def __init__(self, front: request_server.RequestServer,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 end: collections.abc.Callable[[], None]) -> None:
        """Creates a stop that has not begun.

        Args:
            front: Answers callers.
            scheduler: Delays calls.
            journal: Gets a line at the begin.
            end: Ends the process; it may be called more than once.
        """
        self._front = front
        self._scheduler = scheduler
        self._journal = journal
        self._end = end
        self.is_begun = False

    def begin(self, port: typing.Any, grace: datetime.timedelta) -> None:
        """Begins the stop.

        Args:
            port: The listening port for callers.
            grace: Time until the process is killed.
        """
        self.is_begun = True
        self._journal.write("stop_begins",
                            open_requests=self._front.open_requests)
        self._front.stop()
        self._scheduler.call_later(_LISTEN_ON,
                                   lambda: self._stop_listening(port))
        self._scheduler.call_later(grace - _MARGIN, self._end)

    def _stop_listening(self, port: typing.Any) -> None:
        # Closing the listener would reset the connections in its backlog.
        port.doRead()
        port.stopListening()
        self._front.close_idle()
        self._scheduler.call_later(_SETTLE, self._wait_for_requests)

    def _wait_for_requests(self) -> None:
        self._front.close_idle()
        if self._front.open_requests:
            self._scheduler.call_later(_POLL, self._wait_for_requests)
        else:
            self._scheduler.call_later(_SETTLE, self._end)
