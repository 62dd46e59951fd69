"""The process that runs on each VM of the platform."""

import collections.abc
import datetime
import http
import math
import os
import pathlib
import random
import signal
import typing

import msgspec
from twisted import logger

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import hedging
from mustardwood import http1
from mustardwood import leadership
from mustardwood import peers
from mustardwood import profiles
from mustardwood import relay
from mustardwood import timing
from mustardwood.platform import authorizer
from mustardwood.platform import duties
from mustardwood.platform import endpoint_client
from mustardwood.platform import endpoint_scaling
from mustardwood.platform import event_journal
from mustardwood.platform import event_loop_monitor
from mustardwood.platform import freshness_gate
from mustardwood.platform import freshness_reader
from mustardwood.platform import graceful_shutdown
from mustardwood.platform import hedge_variables
from mustardwood.platform import journal_store
from mustardwood.platform import metrics
from mustardwood.platform import peer_synchronizer
from mustardwood.platform import request_server
from mustardwood.platform import scaling_settings
from mustardwood.platform import service_state_reader
from mustardwood.platform import settings as settings_module
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher
from mustardwood.platform import vm_registration
from mustardwood.profiles import response_observer

_FORWARDING_MARGIN = datetime.timedelta(milliseconds=500)
"""Part of the key removal time that is reserved for sending a request."""
_SETTINGS_CHECK_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which the settings file is checked for changes.

The file may change without a SIGHUP.
"""
_MISSING_FILE = (0, 0, 0)
"""File version that stands for a missing settings file."""
_LISTEN_BACKLOG = 512
"""Maximum number of connections that wait to be accepted."""


class Daemon:
    """Creates the components of the process and runs them."""

    _port: typing.Any = None

    def __init__(self, reactor: typing.Any, path: pathlib.Path) -> None:
        """Reads the settings and creates the components.

        Args:
            reactor: Twisted's reactor.
            path: Path of the settings file.

        Raises:
            errors.SettingsError: If the settings, or the environment variables
                of hedged requests, are invalid.
        """
        self._reactor = reactor
        self._path = path
        self._settings = settings_module.read_settings(path)
        hedge_settings = hedge_variables.read_hedge_settings(
            os.environ, self._settings.bounds.retry_share)
        self._clock = timing.SuspendAwareClock()
        self._rng = random.Random()
        self._scheduler = http1.ReactorScheduler(reactor)
        self._journal = event_journal.EventJournal(self._clock,
                                                   self._settings.vm)
        self._proof = dispatch.FreshnessProof(self._clock,
                                              self._settings.key_removal_time,
                                              _FORWARDING_MARGIN)
        self._notices = dispatch.EndpointNotices(self._settings.vm, self._clock,
                                                 self._log_notice)
        self._directory = dispatch.EndpointDirectory(self._clock, self._notices)
        self._health = dispatch.EndpointHealth(self._clock)
        self._prefix_caches = dispatch.PrefixCacheIndex(self._clock)
        self._crashes = dispatch.CrashRecord(
            self._clock, lambda fingerprint, duration: self._journal.write(
                "request_blocked",
                fingerprint=fingerprint,
                for_s=duration.total_seconds()))
        self._part_crashes = dispatch.PromptPartCrashes(
            self._clock, self._rng, lambda part, change: self._journal.write(
                "prompt_part", part=part, change=change))
        self._rate_limits = dispatch.EndpointRateLimits(
            self._settings.vm, self._clock, lambda: self._peers.peer_names,
            self._log_rate_limit, lambda endpoint, problem: self._journal.write(
                "rate_limit_rejected", endpoint=endpoint, error=problem))
        self._pauses = dispatch.EndpointPauses(
            self._clock, self._rng, self._notices,
            lambda endpoint, problem: self._journal.write(
                "pause_rejected", endpoint=endpoint, error=problem))
        self._streams = dispatch.StreamVersionTable(self._clock)
        self._process_exit = dispatch.ProcessExit()
        self._response_memory = dispatch.ResponseMemory(
            self._settings.max_response_memory)
        pool = http1.ConnectionPool(reactor, self._clock, self._scheduler,
                                    self._response_memory)
        client = store_client.StoreClient(
            settings_module.parse_address(self._settings.store.address), pool,
            self._scheduler)
        stream_store = journal_store.JournalStore(client, self._clock,
                                                  self._journal,
                                                  self._settings.vm)
        client.add_era_listener(stream_store.handle_era_change)
        self._stream_journal = dispatch.StreamJournal(
            self._settings.vm, self._clock, self._scheduler, self._streams,
            self._directory, lambda: self._peers.peer_names, stream_store,
            self._journal, self._settings.is_first_start)
        stream_store.attach(self._stream_journal)
        self._loads = dispatch.LoadTable(self._clock)
        self._placement_settings = dispatch.PlacementSettings()
        self._profiles = profiles.EngineProfiles(
            self._clock, self._log_profile, lambda peer, problem: self._journal.
            write("profile_rejected", source=peer, error=problem))
        self._learns_engines = (os.environ.get(
            settings_module.LEARN_ENGINES_VARIABLE) == "1")
        self._profile_table: profiles.ProfileTable = (self._profiles if
                                                      self._learns_engines else
                                                      profiles.FixedProfiles())
        self._admission = dispatch.TierAdmission(self._clock, self._loads,
                                                 self._rate_limits,
                                                 self._placement_settings,
                                                 self._profile_table,
                                                 self._health.list_avoided,
                                                 self._directory.list_usable)
        self._watcher = store_watcher.StoreWatcher(
            client, self._clock, self._scheduler, self._directory, self._proof,
            freshness_gate.FreshnessGate(self._clock,
                                         self._settings.is_first_start),
            self._journal, self._forget_endpoint, self._handle_vm_change,
            stream_store, self._rng,
            store_watcher.WatchTimes.from_settings(self._settings),
            self._settings.min_lapse_time, self._loads.count_peers)
        self._reader = freshness_reader.FreshnessReader(
            client, self._clock, self._scheduler, self._proof, self._watcher,
            self._loads.count_peers, self._journal, self._rng)
        self._duties = duties.Duties.from_settings(
            self._settings, client, self._watcher, self._clock, self._scheduler,
            self._journal, pool, lambda: self._peers.peer_names, self._rng)
        self._peers = peer_synchronizer.PeerSynchronizer(
            peers.PeerProtocol(
                self._settings.vm, self._clock, self._loads,
                self._prefix_caches, self._crashes, self._part_crashes,
                self._proof, self._rng, self._streams, self._rate_limits,
                self._notices, self._admission, self._profiles, None
                if self._duties.usage is None else self._duties.usage.exchange),
            self._loads, self._clock, self._scheduler, pool, self._watcher,
            self._journal, self._settings.vm, self._rng)
        self._registration = vm_registration.VmRegistration(
            client, self._scheduler, self._journal, self._settings.vm,
            self._settings.listen.peers, lambda: self._peers.peer_count,
            self._rng)
        client.add_era_listener(self._registration.handle_era_change)
        self._authorizer = authorizer.Authorizer(
            self._watcher, self._proof, self._settings.bounds.keys_fail_closed,
            self._settings.apply_time)
        self._retry_budgets = dispatch.ServiceRetryBudgets(
            self._rng, self._settings.bounds.retry_share,
            self._settings.bounds.spare_retries,
            lambda: self._peers.peer_count + 1)
        self._hedging = hedging.Hedging(hedge_settings, self._clock,
                                        self._retry_budgets.take_hedge,
                                        self._log_hedge_budget)
        self._metrics = metrics.ProcessMetrics()
        self._duties.add_endpoint_scaling(self._make_scaling)
        self._loop_monitor = event_loop_monitor.EventLoopMonitor(
            self._clock, self._scheduler, self._journal)
        self._endpoint_path = self._make_endpoint_path(reactor)
        self._server = request_server.RequestServer(
            self._make_context(
                http1.ConnectionPool(reactor, self._clock, self._scheduler,
                                     self._response_memory,
                                     self._endpoint_path)), self._watcher,
            http1.BodyBudget(self._settings.max_body_memory),
            self._authorizer.confirm_refusal)
        self._settings_version = _read_file_version(path)
        self._tunnels = self._make_tunnel_server()
        self._shutdown = graceful_shutdown.GracefulShutdown(
            self._server, self._tunnels, self._process_exit, self._clock,
            self._scheduler, self._journal, self._stop_reactor)

    def start(self) -> None:
        """Starts the servers, the store watch and the signal handlers."""
        listen = self._settings.listen
        self._serve_page(listen.readiness, "/readyz", self._build_readiness)
        host, port = settings_module.parse_address(listen.callers)
        self._port = self._reactor.listenTCP(port,
                                             self._server,
                                             backlog=_LISTEN_BACKLOG,
                                             interface=host)
        self._watcher.start()
        self._reader.start()
        self._stream_journal.start()
        self._loop_monitor.start()
        self._duties.start()
        if listen.peers:
            host, port = settings_module.parse_address(listen.peers)
            self._reactor.listenTCP(port, self._tunnels, interface=host)
            # The reactor would close them regularly.
            self._reactor.addSystemEventTrigger("before", "shutdown",
                                                self._tunnels.abort_tunnels)
            self._reactor.listenUDP(port, self._peers.port, interface=host)
            self._registration.start()
            self._peers.start()
        signal.signal(
            signal.SIGTERM,
            lambda *_: self._reactor.callFromThread(self._start_shutdown))
        signal.signal(signal.SIGHUP,
                      lambda *_: self._reactor.callFromThread(self._reload))
        logger.globalLogBeginner.beginLoggingTo(
            [typing.cast(typing.Any, self._journal.log_twisted_error)],
            discardBuffer=True,
            redirectStandardIO=False)
        self._serve_metrics()
        self._watch_settings()
        self._journal.write("start",
                            zone=self._settings.zone,
                            callers=listen.callers)

    def _serve_page(self, address: str, path: str,
                    build: collections.abc.Callable[[], http1.Page]) -> None:
        host, port = settings_module.parse_address(address)
        self._reactor.listenTCP(port,
                                http1.PageServer(self._scheduler,
                                                 {path: build}),
                                interface=host)

    def _build_readiness(self) -> http1.Page:
        reason = self._find_unready_reason()
        if reason:
            return http1.Page(http.HTTPStatus.SERVICE_UNAVAILABLE,
                              reason.encode())
        return http1.Page(http.HTTPStatus.OK, b"ready")

    def _build_configuration(self) -> http1.Page:
        if self._watcher.item is None:
            return http1.Page(http.HTTPStatus.SERVICE_UNAVAILABLE,
                              b"No configuration was read yet.")
        return http1.Page(http.HTTPStatus.OK,
                          msgspec.json.encode(self._watcher.item),
                          "application/json")

    def _make_context(self,
                      pool: http1.ConnectionPool) -> dispatch.ForwardingContext:
        brittleness = self._make_brittleness()
        return dispatch.ForwardingContext(
            clock=self._clock,
            scheduler=self._scheduler,
            client=endpoint_client.HttpEndpointClient(pool),
            authorizer=self._authorizer,
            directory=self._directory,
            notices=self._notices,
            loads=self._loads,
            health=self._health,
            prefix_caches=self._prefix_caches,
            crashes=self._crashes,
            part_crashes=self._part_crashes,
            rate_limits=self._rate_limits,
            pauses=self._pauses,
            brittleness=brittleness,
            admission=self._admission,
            placement=dispatch.Placement(self._settings.zone, self._clock,
                                         self._loads, self._health,
                                         self._prefix_caches, self._rate_limits,
                                         self._pauses, self._placement_settings,
                                         self._find_service, self._rng,
                                         self._profile_table, brittleness),
            retry_budgets=self._retry_budgets,
            retry_after=dispatch.RetryAfterPolicy(self._rng),
            queue=dispatch.PlacementQueue(self._clock, self._scheduler),
            journal=self._journal,
            metrics=self._metrics,
            streams=self._streams,
            version_record=self._stream_journal,
            registrations=self._watcher,
            observer=self._make_observer(),
            process_exit=self._process_exit,
            usage=self._duties.request_counter,
            hedging=self._hedging,
            response_memory=self._response_memory)

    def _make_brittleness(self) -> dispatch.EndpointBrittleness:
        return dispatch.EndpointBrittleness(
            self._clock, self._pauses, lambda: self._peers.peer_count + 1,
            self._rng, lambda endpoint, max_refusals: self._journal.write(
                "brittle_endpoint",
                endpoint=endpoint,
                max_refusals=max_refusals))

    def _make_observer(self) -> dispatch.ResponseObserver:
        if not self._learns_engines:
            return dispatch.NoResponseObserver()
        return response_observer.ResponseObserver(self._profiles, self._clock,
                                                  self._loads, self._health,
                                                  self._rate_limits,
                                                  self._find_service)

    def _make_scaling(
            self, leaders: leadership.Leadership,
            calls: leadership.DutyCalls) -> endpoint_scaling.EndpointScaling:
        found = scaling_settings.ScalingSettings.from_environment(os.environ)
        reader = service_state_reader.ServiceStateReader(
            self._directory, self._admission, self._loads, self._list_services,
            lambda: self._peers.peer_count, found.pinned_counts, self._journal)
        return endpoint_scaling.EndpointScaling(self._clock, self._scheduler,
                                                self._journal, reader, leaders,
                                                calls, found, self._metrics)

    def _list_services(self) -> tuple[dispatch.ServiceParameters, ...]:
        configuration = self._watcher.configuration
        return () if configuration is None else (
            configuration.table.list_services())

    def _find_service(self, name: str) -> dispatch.ServiceParameters:
        configuration = self._watcher.configuration
        if configuration is None:
            return dispatch.ServiceParameters(name)
        return configuration.table.find_service(name)

    def _log_notice(self, notice: dispatch.NoticeEvent) -> None:
        self._journal.write("endpoint_notice",
                            endpoint=notice.endpoint,
                            kind=notice.kind,
                            source=notice.vm,
                            age_s=notice.age.total_seconds())

    def _log_hedge_budget(self, service: str, is_used_up: bool) -> None:
        self._journal.write("hedge_budget",
                            service=service,
                            state="used up" if is_used_up else "available")

    def _log_rate_limit(self, change: dispatch.RateLimitChange) -> None:
        self._journal.write("rate_limit",
                            endpoint=change.endpoint,
                            limit=change.limit,
                            source=change.source,
                            refusals_before=change.refusals)

    def _log_profile(self, change: profiles.ProfileChange) -> None:
        self._journal.write("engine_profile",
                            change=change.kind,
                            service=change.service,
                            endpoint=change.endpoint,
                            **change.profile.describe())

    def _make_endpoint_path(self, reactor: typing.Any) -> relay.RelayedPath:
        return relay.RelayedPath(reactor, self._clock, self._scheduler,
                                 self._journal, self._directory.list_endpoints,
                                 self._peers.list_running,
                                 self._forget_failures, self._rng)

    def _make_tunnel_server(self) -> relay.TunnelServer:
        pages = http1.PageServer(
            self._scheduler,
            {peer_synchronizer.CONFIGURATION_PATH: self._build_configuration})
        return relay.TunnelServer(pages, self._scheduler, self._endpoint_path,
                                  self._directory.find_endpoint,
                                  self._peers.is_peer,
                                  self._endpoint_path.has_path)

    def _forget_failures(self, service: str) -> None:
        """Forgets that endpoints failed, as the path to them did."""
        for each in self._directory.list_registered(service):
            self._health.forget_endpoint(each.name)

    def _handle_vm_change(self, name: str, value: bytes | None) -> None:
        self._peers.set_vm(name, value)

    def _forget_endpoint(self, name: str) -> None:
        self._health.forget_endpoint(name)
        self._loads.forget_endpoint(name)
        self._prefix_caches.forget_endpoint(name)

    def _find_unready_reason(self) -> str:
        if self._shutdown.has_begun:
            return "The process is stopping."
        if self._watcher.configuration is None:
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
        self._proof.set_key_removal_time(self._settings.key_removal_time,
                                         _FORWARDING_MARGIN)
        self._authorizer.set_bounds(self._settings.bounds.keys_fail_closed,
                                    self._settings.apply_time)
        self._journal.write("reload", path=str(self._path))

    def _watch_settings(self) -> None:
        """Reloads the settings if their file was changed or replaced."""
        new_version = _read_file_version(self._path)
        if new_version not in (self._settings_version, _MISSING_FILE):
            self._settings_version = new_version
            self._reload()
        self._scheduler.call_later(_SETTINGS_CHECK_INTERVAL,
                                   self._watch_settings)

    def _serve_metrics(self) -> None:
        port = os.environ.get(settings_module.METRICS_PORT_VARIABLE, "")
        if not port.isdecimal():
            return
        for name, help_text, get_value in (
            ("mustardwood_open_requests", "Requests without a final answer.",
             lambda: float(self._server.open_requests)),
            ("mustardwood_request_body_bytes",
             "Bytes of the request bodies that are held.",
             lambda: float(self._server.get_body_budget().taken_bytes)),
            ("mustardwood_request_body_refusals",
             "Requests refused because too little memory was left for bodies.",
             lambda: float(self._server.get_body_budget().refusals)),
            ("mustardwood_request_body_drops",
             "Unfinished bodies refused to make room for those of others.",
             lambda: float(self._server.get_body_budget().drops)),
            ("mustardwood_response_buffer_bytes",
             "Bytes of the large buffers of responses that are held.",
             lambda: float(self._response_memory.held_bytes)),
            ("mustardwood_response_buffer_drops",
             "Buffers of responses dropped because too little memory was left.",
             lambda: float(self._response_memory.drops)),
            ("mustardwood_proof_age_seconds",
             "Age of the proof that the configuration is the newest.",
             self._get_proof_age),
            ("mustardwood_configuration_version", "Version in force.",
             self._get_configuration_version),
            ("mustardwood_peers", "Peers whose loads count.",
             lambda: float(self._loads.count_peers())),
            ("mustardwood_blocked_requests",
             "Requests that are refused because they crash endpoints.",
             lambda: float(self._crashes.blocked_count)),
            ("mustardwood_blocked_prompt_parts",
             "Parts of prompts that are refused because they crash engines.",
             lambda: float(self._part_crashes.blocked_count)),
            ("mustardwood_rate_limited_endpoints",
             "Endpoints that state a rate limit.",
             lambda: float(self._rate_limits.limited_count)),
            ("mustardwood_rate_limit_refusals",
             "Times that a rate limit kept a request from an endpoint.",
             lambda: float(self._rate_limits.refusal_count)),
            ("mustardwood_profiled_engines", "Engines whose speed is known.",
             lambda: float(self._profiles.engine_count)),
            ("mustardwood_slow_engines",
             "Engines that are much slower than their service.",
             lambda: float(self._profiles.slow_count)),
            ("mustardwood_engine_speed_changes",
             "Times that an engine became much slower or faster at once.",
             lambda: float(self._profiles.change_count)),
            ("mustardwood_rejected_profile_reports",
             "Peers' reports of engine profiles with impossible values.",
             lambda: float(self._profiles.rejection_count)),
            ("mustardwood_stream_journal_writes",
             "Writes of streams to the store by this VM.",
             lambda: float(self._stream_journal.write_count)),
            ("mustardwood_paused_endpoints",
             "Endpoints that have asked this VM for a pause.",
             lambda: float(self._pauses.paused_count)),
            ("mustardwood_lost_paths",
             "Services whose endpoints are reached through other VMs.",
             lambda: float(self._endpoint_path.lost_count)),
            ("mustardwood_relayed_connections",
             "Connections through other VMs that were asked for.",
             lambda: float(self._endpoint_path.opened_tunnels)),
            ("mustardwood_hedges", "Requests sent to a second endpoint, too.",
             lambda: float(self._hedging.sent)),
            ("mustardwood_hedge_wins",
             "Hedged requests that the second endpoint answered first.",
             lambda: float(self._hedging.wins)),
            ("mustardwood_hedge_wasted_seconds",
             "Time for which two endpoints ran the same request.",
             lambda: float(self._hedging.wasted.total_seconds())),
            ("mustardwood_hedge_budget",
             "Hedged requests that may be sent, over all services.",
             lambda: self._hedging.remaining_budget),
            ("mustardwood_event_loop_late_seconds",
             "Time for which timers were late by 0.1 s or more.",
             lambda: float(self._loop_monitor.total_delay.total_seconds())),
            ("mustardwood_dropped_log_lines", "Lines dropped since the last.",
             lambda: float(self._journal.dropped)),
        ):
            self._metrics.add_gauge(name, help_text, get_value)
        self._duties.add_metrics(self._metrics)
        self._serve_page(f"{self._settings.ip}:{port}", metrics.PATH,
                         self._metrics.build_page)

    def _get_proof_age(self) -> float:
        age = self._proof.get_age()
        return math.inf if age is None else age.total_seconds()

    def _get_configuration_version(self) -> float:
        configuration = self._watcher.configuration
        return 0.0 if configuration is None else configuration.table.version

    def _start_shutdown(self) -> None:
        if not self._shutdown.has_begun:
            self._duties.stop()
            self._registration.stop()
            self._shutdown.start(self._port, self._settings.grace)

    def _stop_reactor(self) -> None:
        if self._reactor.running:
            self._watcher.stop()
            self._journal.write("stop",
                                open_requests=self._server.open_requests)
            self._reactor.stop()


def _read_file_version(path: pathlib.Path) -> tuple[int, int, int]:
    """Returns a value that differs after each change of a file.

    It consists of the modification time in nanoseconds, the size in bytes and
    the inode number. It is `_MISSING_FILE` if the file can't be read.
    """
    try:
        found = path.stat()
    except OSError:
        # The file may be in the course of being replaced; it is checked again
        # after the interval.
        return _MISSING_FILE
    return found.st_mtime_ns, found.st_size, found.st_ino
