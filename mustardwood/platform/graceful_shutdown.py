"""Graceful shutdown of the process."""

import collections.abc
import datetime
import typing

from mustardwood import dispatch
from mustardwood import relay
from mustardwood import timing
from mustardwood.platform import request_server

_ACCEPT_TIME = datetime.timedelta(milliseconds=2300)
"""Time after SIGTERM for which new connections are still accepted.

The load balancer checks readiness every second and stops sending connections
after two failed checks.
"""
_DRAIN_DELAY = datetime.timedelta(milliseconds=200)
"""Time for requests to arrive on the connections that were accepted last."""
_MAX_ACCEPTED = 1024
"""Maximum number of connections accepted when the listener closes.

It is higher than the listener's backlog.
"""
_KILL_MARGIN = datetime.timedelta(milliseconds=400)
"""Time before SIGKILL at which the requests that are still open are ended."""
_FLUSH_TIME = datetime.timedelta(milliseconds=200)
"""Time between that and the exit, in which the last responses are sent."""
_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
"""Interval at which the open connections are checked."""


class GracefulShutdown:
    """Stops the process after its last response was sent.

    Callers learn of the stop only from a response or from the load balancer, so
    requests still arrive: on new connections until the listener closes, and on
    kept ones until they are idle. After the listener has closed, only those are
    sent to an endpoint that end before the process exits. Responses that this
    VM relays for others end, too, if they do so in the grace.

    Attributes:
        has_begun: Whether the shutdown has begun.
    """

    def __init__(self, server: request_server.RequestServer,
                 tunnels: relay.TunnelServer,
                 process_exit: dispatch.ProcessExit, clock: timing.Clock,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 exit_process: collections.abc.Callable[[], None]) -> None:
        """Creates a shutdown that has not begun.

        Args:
            server: Accepts connections and handles requests.
            tunnels: Relays connections for other VMs.
            process_exit: Limits the requests that are sent.
            clock: The clock by which requests expire.
            scheduler: Schedules the steps of the shutdown.
            journal: Logs the begin of the shutdown.
            exit_process: Exits the process; may be called more than once.
        """
        self._server = server
        self._tunnels = tunnels
        self._process_exit = process_exit
        self._clock = clock
        self._scheduler = scheduler
        self._journal = journal
        self._exit_process = exit_process
        self._exits_at = datetime.timedelta()
        self.has_begun = False

    def start(self, port: typing.Any, grace: datetime.timedelta) -> None:
        """Begins the shutdown.

        Args:
            port: The listening port for callers.
            grace: Time from now until SIGKILL.
        """
        self.has_begun = True
        self._journal.write("stop_begins",
                            open_requests=self._server.open_requests)
        self._server.stop()
        self._tunnels.stop()
        self._exits_at = self._clock.monotonic() + grace - _KILL_MARGIN
        self._scheduler.call_later(_ACCEPT_TIME,
                                   lambda: self._stop_listening(port))
        self._scheduler.call_later(grace - _KILL_MARGIN, self._end_requests)

    def _stop_listening(self, port: typing.Any) -> None:
        # Closing the listener would reset the connections in its backlog, so
        # they are accepted first. Twisted accepts only as many at once as in
        # the last burst by default.
        port.numberAccepts = _MAX_ACCEPTED
        port.doRead()
        port.stopListening()
        self._scheduler.call_later(_DRAIN_DELAY, self._limit_requests)

    def _limit_requests(self) -> None:
        self._process_exit.limit_requests(self._exits_at)
        self._wait_for_connections()

    def _end_requests(self) -> None:
        self._journal.write("stop_ends_requests",
                            open_requests=self._server.open_requests)
        # The listener may still be open if the grace is short.
        self._process_exit.limit_requests(self._exits_at)
        self._server.end_requests()
        self._scheduler.call_later(_FLUSH_TIME, self._exit_process)

    def _wait_for_connections(self) -> None:
        self._server.close_idle_connections()
        if self._server.has_connections or self._tunnels.open_tunnels:
            self._scheduler.call_later(_POLL_INTERVAL,
                                       self._wait_for_connections)
        else:
            self._exit_process()
