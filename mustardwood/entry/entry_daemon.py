"""The entry process, which serves callers."""

import datetime
import random
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import server

from mustardwood import claims
from mustardwood import engines
from mustardwood import links
from mustardwood import messages
from mustardwood import reports
from mustardwood import routing
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.entry import callers_site
from mustardwood.entry import command_executor
from mustardwood.entry import entry_metrics
from mustardwood.entry import handover
from mustardwood.entry import listener_stop
from mustardwood.entry import query_handler
from mustardwood.entry import response_writer
from mustardwood.entry import unavailable_claim_store

_POLL_INTERVAL_SECONDS = 0.1
"""Interval at which a shutdown checks whether work is still open."""

_IDLE_CHECK_INTERVAL_SECONDS = 60.0
"""Interval at which idle connections to other processes are closed."""

_FLUSH_TIMEOUT = datetime.timedelta(seconds=10)
"""Time limit for sending the last responses during a graceful shutdown."""

_MIN_DRAIN_TIME = datetime.timedelta(seconds=1)
"""Minimum duration of a graceful shutdown.

Requests that callers have already sent on open connections arrive during it.
"""

_HANDOVER_SEND_SECONDS = 0.3
"""Time for which the link stays open so that the last message is sent."""

_log = runtime.make_logger("entry")


class ProcessLink(links.Link, typing.Protocol):
    """A link that is opened and closed together with its process."""

    def open(self) -> None:
        """Starts listening."""

    def close(self) -> None:
        """Closes all sockets."""

    def close_idle_connections(self) -> None:
        """Closes the sockets of peers to which nothing was sent recently."""


class EntryDaemon:
    """Connects the router to callers, endpoints, the claim store and the link.
    """

    def __init__(self,
                 settings: settings_module.Settings,
                 reactor: typing.Any,
                 clock: timing.Clock,
                 link: ProcessLink,
                 client: engines.EndpointClient | None = None,
                 store: claims.ClaimStore | None = None) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._link = link
        self._draining = False
        self._listeners: list[interfaces.IListeningPort] = []
        registry = runtime.make_registry()
        self._router = routing.Router(
            settings.vm, settings.ip, settings.region, clock, random.Random(),
            entry_metrics.EntryMetrics(registry), routing.LeastLoadedSelector(),
            routing.ServiceLevelRecorder(
                f"{settings.vm}/{clock.now().isoformat()}",
                settings.burn_minute_seconds))
        self._executor = command_executor.CommandExecutor(
            reactor, clock, self._router, link, client or
            engines.HttpClient(reactor), store or
            unavailable_claim_store.UnavailableClaimStore())
        self._callers_site = callers_site.CallersSite(self, clock)
        self._site = self._callers_site.make_site(reactor)
        self._idle_check = task.LoopingCall(link.close_idle_connections)
        self._idle_check.clock = reactor
        entry_metrics.add_version_gauge(registry,
                                        lambda: self._router.view.version)
        self._operators_site = runtime.OperatorsSite(settings, registry,
                                                     self.is_ready)

    @property
    def classifier(self) -> routing.Classifier | None:
        """Look-up in the current configuration; None before the first."""
        return self._router.view.classifier

    @property
    def callers_port(self) -> int:
        """TCP port on which callers connect; valid after `start`."""
        listener: typing.Any = self._listeners[0]
        return listener.getHost().port

    def is_draining(self) -> bool:
        """Returns whether a graceful shutdown is in progress."""
        return self._draining

    def is_ready(self) -> bool:
        """Returns whether the entry accepts requests."""
        return self.classifier is not None and not self._draining

    def handle_request(self, request: routing.CallerRequest,
                       writer: response_writer.ResponseWriter) -> None:
        """Handles a valid request; the writer sends the response."""
        self._executor.add_writer(request.request_id, writer)
        self._executor.execute(
            self._router.handle_request(request, self._clock.monotonic()))

    def handle_caller_disconnect(self, request_id: str) -> None:
        """Handles the loss of a caller's connection."""
        self._executor.remove_writer(request_id)
        self._executor.execute(
            self._router.handle_caller_disconnect(request_id))

    async def start(self) -> None:
        """Starts to listen for messages and for HTTP requests of all kinds."""
        settings = self._settings
        self._link.set_handler(self._handle_message)
        self._link.open()
        self._idle_check.start(_IDLE_CHECK_INTERVAL_SECONDS, now=False)
        operators = await runtime.listen_http(
            self._reactor, server.Site(self._operators_site.app.resource()),
            settings.ip, settings.entry_operators_port, settings.operators_tls)
        callers = await runtime.listen_http(self._reactor, self._site,
                                            settings.ip, settings.callers_port,
                                            settings.callers_tls)
        self._listeners = [callers, operators]

    async def stop(self) -> None:
        """Shuts down gracefully: first completes the open requests.

        It waits for them at most `drain_seconds` of the settings.
        """
        self._draining = True
        if self._listeners:
            await listener_stop.stop_listening(self._listeners[0],
                                               self._reactor)
        started_at = self._clock.monotonic()
        time_limit = datetime.timedelta(seconds=self._settings.drain_seconds)
        while not self._is_drained(self._clock.monotonic() - started_at):
            if self._clock.monotonic() - started_at >= time_limit:
                _log.warning("%d requests are still open after drain_seconds",
                             self._router.open_requests)
                break
            await task.deferLater(self._reactor, _POLL_INTERVAL_SECONDS)
        await self._close_connections()
        await self._hand_over_counts()
        for listener in self._listeners[1:]:
            await _stop_listening(listener)
        self._idle_check.stop()
        self._link.close()

    async def _hand_over_counts(self) -> None:
        """Sends the service-level counts to the agent of another VM."""
        recorder = self._router.recorder
        agent = handover.choose_handover_agent(
            self._settings.vm, self._router.view.members,
            recorder.compute_minute(self._clock.now()))
        if agent is None:
            return
        record = recorder.make_record(self._settings.vm, None)
        body = reports.encode_record(record).encode()
        self._link.send(agent, messages.LevelHandover(self._settings.vm, body))
        await task.deferLater(self._reactor, _HANDOVER_SEND_SECONDS)

    async def _close_connections(self) -> None:
        """Closes the callers' connections once their responses are sent."""
        for channel in list(self._site.channels):
            channel.loseConnection()
        started_at = self._clock.monotonic()
        while self._site.channels:
            if self._clock.monotonic() - started_at >= _FLUSH_TIMEOUT:
                _log.warning("%d callers have not read their responses",
                             len(self._site.channels))
                break
            await task.deferLater(self._reactor, _POLL_INTERVAL_SECONDS)

    def _is_drained(self, elapsed: datetime.timedelta) -> bool:
        return elapsed >= _MIN_DRAIN_TIME and self._executor.is_idle

    def _handle_message(self, envelope: messages.Envelope) -> None:
        if isinstance(envelope.body, messages.Query):
            reply = query_handler.answer_query(envelope.body,
                                               self._settings.vm,
                                               self._router,
                                               ready=self.is_ready())
            self._link.send(envelope.sender, reply)
            return
        self._executor.execute(
            self._router.handle_message(envelope, self._clock.monotonic()))


async def _stop_listening(listener: typing.Any) -> None:
    await defer.maybeDeferred(listener.stopListening)
