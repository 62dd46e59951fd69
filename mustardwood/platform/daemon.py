"""The process of a VM on the platform."""

import datetime
import pathlib
import random
import signal
import typing

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1
from mustardwood import timing
from mustardwood.platform import authority
from mustardwood.platform import endpoint_calls
from mustardwood.platform import event_journal
from mustardwood.platform import front as front_module
from mustardwood.platform import readiness
from mustardwood.platform import settings as settings_module
from mustardwood.platform import store_client
from mustardwood.platform import store_follower

_PROOF_MARGIN = datetime.timedelta(milliseconds=500)
"""Part of the key removal time that is left for the way to the endpoint."""
_LISTEN_ON = datetime.timedelta(milliseconds=2300)
"""Time after the signal to stop in which new connections are accepted.

The balancer asks every second and takes two misses.
"""
_SETTLE = datetime.timedelta(milliseconds=200)
"""Time for the requests on connections that were accepted last."""
_STOP_MARGIN = datetime.timedelta(milliseconds=400)
"""Time before the signal to kill at which the process ends anyway."""
_STOP_POLL = datetime.timedelta(milliseconds=50)
"""Interval between looks whether the last request has ended."""
_SPARE_RETRIES = 2.0
"""Retries of a VM besides its share, at most.

All VMs share the allowance; it names two or more for each VM of a deployment.
"""
_USED_SHARE = 0.85
"""Part of the allowed share of retries that is used; VMs count unevenly."""
_BACKLOG = 512
"""Connections that may wait to be accepted."""


class Daemon:
    """Builds the parts of the process and runs them."""

    def __init__(self, reactor: typing.Any, path: pathlib.Path) -> None:
        """Builds the parts.

        Args:
            reactor: Twisted's reactor.
            path: The settings file.

        Raises:
            errors.SettingsError: If the settings can't be used.
        """
        self._reactor = reactor
        self._path = path
        self._settings = settings_module.read_settings(path)
        self._clock = timing.SuspendAwareClock()
        self._scheduler = http1.ReactorScheduler(reactor)
        self._journal = event_journal.EventJournal(self._clock,
                                                   self._settings.vm)
        self._proof = dispatch.CurrencyProof(self._clock,
                                             self._settings.key_removal_time,
                                             _PROOF_MARGIN)
        self._directory = dispatch.EndpointDirectory(self._clock)
        self._health = dispatch.EndpointHealth(self._clock)
        self._memory = dispatch.PrefixMemory(self._clock)
        pool = http1.ConnectionPool(reactor, self._clock, self._scheduler)
        client = store_client.StoreClient(
            settings_module.parse_address(self._settings.store.address), pool,
            self._scheduler)
        self._follower = store_follower.StoreFollower(
            client, self._clock, self._scheduler, self._directory, self._proof,
            self._journal, self._forget_endpoint)
        self._front = front_module.Front(self._make_context(pool),
                                         self._follower)
        self._port: typing.Any = None
        self._is_stopping = False

    def start(self) -> None:
        """Listens, follows the store, and installs the signal handlers."""
        listen = self._settings.listen
        host, port = settings_module.parse_address(listen.readiness)
        self._reactor.listenTCP(port,
                                readiness.Readiness(self._scheduler,
                                                    self._find_obstacle),
                                interface=host)
        host, port = settings_module.parse_address(listen.callers)
        self._port = self._reactor.listenTCP(port,
                                             self._front,
                                             backlog=_BACKLOG,
                                             interface=host)
        self._follower.start()
        signal.signal(signal.SIGTERM,
                      lambda *_: self._reactor.callFromThread(self._begin_stop))
        signal.signal(signal.SIGHUP,
                      lambda *_: self._reactor.callFromThread(self._reload))
        self._journal.write("start",
                            zone=self._settings.zone,
                            callers=listen.callers)

    def _make_context(self,
                      pool: http1.ConnectionPool) -> dispatch.ForwardingContext:
        loads = dispatch.LoadTable(self._clock)
        bounds = self._settings.bounds
        return dispatch.ForwardingContext(
            clock=self._clock,
            scheduler=self._scheduler,
            client=endpoint_calls.EndpointCalls(pool),
            authority=authority.Authority(self._follower, self._proof,
                                          bounds.keys_fail_closed),
            directory=self._directory,
            loads=loads,
            health=self._health,
            memory=self._memory,
            placement=dispatch.Placement(self._settings.zone, loads,
                                         self._health, self._memory,
                                         dispatch.PlacementSettings()),
            retries=dispatch.RetryBudget(random.Random(),
                                         bounds.retry_share * _USED_SHARE,
                                         _SPARE_RETRIES),
            journal=self._journal)

    def _forget_endpoint(self, name: str) -> None:
        self._health.forget(name)
        self._memory.forget(name)

    def _find_obstacle(self) -> str:
        if self._is_stopping:
            return "The process is stopping."
        if self._follower.configuration is None:
            return "No configuration was read yet."
        if self._directory.is_empty:
            return "No endpoint is registered."
        if (self._settings.bounds.keys_fail_closed and
                not self._proof.is_current()):
            return "The store does not answer."
        return ""

    def _reload(self) -> None:
        try:
            self._settings = settings_module.read_settings(self._path)
        except errors.SettingsError as error:
            self._journal.write("reload_failed", error=str(error))
            return
        self._journal.write("reload")

    def _begin_stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._journal.write("stop_begins",
                            open_requests=self._front.open_requests)
        self._front.stop()
        self._scheduler.call_later(_LISTEN_ON, self._stop_listening)
        self._scheduler.call_later(self._settings.grace - _STOP_MARGIN,
                                   self._end)

    def _stop_listening(self) -> None:
        # Closing the listener would reset the connections in its backlog.
        self._port.doRead()
        self._port.stopListening()
        self._front.close_idle()
        self._scheduler.call_later(_SETTLE, self._stop_when_done)

    def _stop_when_done(self) -> None:
        self._front.close_idle()
        if self._front.open_requests:
            self._scheduler.call_later(_STOP_POLL, self._stop_when_done)
        else:
            self._scheduler.call_later(_SETTLE, self._end)

    def _end(self) -> None:
        if self._reactor.running:
            self._journal.write("stop", open_requests=self._front.open_requests)
            self._reactor.stop()
