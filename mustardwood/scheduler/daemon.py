"""The scheduler process."""

import typing

from twisted.internet import defer
from twisted.internet import task
from twisted.web import server

from mustardwood import messages
from mustardwood import runtime
from mustardwood import scheduling
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.links import pynng_link
from mustardwood.scheduler import cell_table
from mustardwood.scheduler import load_poller
from mustardwood.scheduler import message_handler
from mustardwood.scheduler import metrics

_TICK_INTERVAL_SECONDS = 0.05
"""Interval at which cells with work are updated."""

_LOAD_POLL_INTERVAL_SECONDS = 1.0
"""Interval at which the load reports of endpoints are read."""

_SHUTDOWN_DELAY_SECONDS = 0.5
"""Time for which asks are still refused during a graceful shutdown.

Entries may send some before they know that this scheduler shuts down.
"""


class SchedulerDaemon:
    """Connects cells to the link, a timer, load reports and operators' HTTP.

    The timer runs only while a cell has work.
    """

    def __init__(self, settings: settings_module.Settings, reactor: typing.Any,
                 clock: timing.Clock) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._registry = runtime.make_registry()
        self._metrics = metrics.SchedulerMetrics(self._registry)
        self._table = cell_table.CellTable(self._metrics)
        self._message_handler = message_handler.MessageHandler(
            settings, clock, self._table)
        self._link = pynng_link.PynngLink.from_settings(settings,
                                                        messages.Role.SCHEDULER,
                                                        clock)
        self._load_poller = load_poller.LoadPoller(reactor,
                                                   self._handle_load_report)
        self._tick_timer: typing.Any = None
        self._next_load_poll = clock.monotonic().total_seconds()
        self._port: typing.Any = None
        self._idle_check = task.LoopingCall(self._link.close_idle_connections)
        self._idle_check.clock = reactor

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any,
                      clock: timing.Clock) -> "SchedulerDaemon":
        """Creates the scheduler process of a VM from its settings."""
        return cls(settings, reactor, clock)

    async def start(self) -> None:
        """Starts to listen for messages and for HTTP requests of operators."""
        site = runtime.OperatorsSite(self._settings, self._registry,
                                     self._is_ready)
        self._port = await runtime.listen_http(
            self._reactor, server.Site(site.app.resource()), self._settings.ip,
            self._settings.scheduler_operators_port,
            self._settings.operators_tls)
        self._link.set_handler(self._handle_message)
        self._link.open()
        self._idle_check.start(60.0, now=False)

    async def stop(self) -> None:
        """Shuts down gracefully: refuses waiting requests and new asks.

        The entries then send them to the cells' next owners.
        """
        self._send(self._message_handler.stop())
        await task.deferLater(self._reactor, _SHUTDOWN_DELAY_SECONDS)
        if self._tick_timer is not None:
            self._tick_timer.cancel()
            self._tick_timer = None
        self._idle_check.stop()
        self._link.close()
        await self._load_poller.stop()
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)

    def _is_ready(self) -> bool:
        return self._table.version > 0

    def _handle_message(self, envelope: messages.Envelope) -> None:
        self._send(self._message_handler.handle_message(envelope))
        self._schedule_tick()

    def _send(self, outgoing: tuple[messages.AddressedMessage, ...]) -> None:
        for addressed in outgoing:
            self._link.send(addressed.peer, addressed.message)

    def _schedule_tick(self) -> None:
        if self._tick_timer is None and any(
                each.has_work for each in self._table):
            self._tick_timer = self._reactor.callLater(_TICK_INTERVAL_SECONDS,
                                                       self._tick)

    def _tick(self) -> None:
        self._tick_timer = None
        self._send(self._message_handler.tick())
        self._poll_load()
        self._update_gauges()
        self._schedule_tick()

    def _poll_load(self) -> None:
        now = self._clock.monotonic().total_seconds()
        if now < self._next_load_poll:
            return
        self._next_load_poll = now + _LOAD_POLL_INTERVAL_SECONDS
        for scheduler in self._table:
            if not scheduler.has_work:
                continue
            for endpoint in scheduler.cell.endpoints:
                if self._table.is_model_endpoint(endpoint):
                    self._load_poller.poll(endpoint)

    def _handle_load_report(self, name: str,
                            report: scheduling.LoadReport) -> None:
        now = self._clock.monotonic()
        for scheduler in self._table:
            if any(each.name == name for each in scheduler.cell.endpoints):
                self._send(scheduler.handle_load_report(name, report, now))

    def _update_gauges(self) -> None:
        for scheduler in self._table:
            self._metrics.queue_length.labels(scheduler.cell.name).set(
                scheduler.queue_length)
        self._metrics.dropped_messages.set(self._link.dropped)
