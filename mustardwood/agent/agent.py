"""The agent of an entry VM."""

import collections.abc
import datetime
import random
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task

from mustardwood import configuration
from mustardwood import errors
from mustardwood import fleetstatus
from mustardwood import keyvalue
from mustardwood import membership
from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood import vmlist
from mustardwood.agent import agent_link
from mustardwood.agent import applier
from mustardwood.agent import backoff
from mustardwood.agent import burn_collector
from mustardwood.agent import burn_reporter
from mustardwood.agent import burn_store
from mustardwood.agent import configuration_synchronizer as synchronizer_module
from mustardwood.agent import counted_service
from mustardwood.agent import crash_tracker
from mustardwood.agent import fleet_counts_reader
from mustardwood.agent import fleet_query
from mustardwood.agent import gossip
from mustardwood.agent import handover_store
from mustardwood.agent import leaving_vm_tracker
from mustardwood.agent import metrics
from mustardwood.agent import operator_api
from mustardwood.agent import query_client
from mustardwood.agent import request_block_store
from mustardwood.agent import sleeper
from mustardwood.agent import view_publisher
from mustardwood.agent import vm_list_poller
from mustardwood.agent import watchers

TICK_PERIOD = datetime.timedelta(milliseconds=100)
"""Interval at which due probes and views are sent."""

MAINTENANCE_PERIOD = datetime.timedelta(seconds=5)
"""Interval of metric updates and of the removal of idle or expired items."""

COLLECTION_PERIOD = datetime.timedelta(seconds=1)
"""Interval at which due records of service-level counts are collected."""

HANDOVER_RETENTION = datetime.timedelta(hours=1)
"""How long the service-level counts of a stopped entry are kept."""

STOP_FLUSH_DELAY = datetime.timedelta(milliseconds=300)
"""Time in which the last messages are sent in a graceful shutdown."""

_log = runtime.make_logger("agent")


class Agent:
    """Connects the agent's parts with the link, the platform and operators.

    It is the only process of its VM that reads the configuration and the list
    of VMs. The entry and the scheduler of the VM receive both as views.

    Args:
        settings: Settings of this VM.
        reactor: The Twisted reactor.
        clock: Source of wall-clock and monotonic time.
        link: Link to other processes.
        service: The platform's key-value service.
        vm_list: The platform's list of VMs.
        rng: Source of randomness.
    """

    def __init__(self, settings: settings_module.Settings, reactor: typing.Any,
                 clock: timing.Clock, link: agent_link.AgentLink,
                 service: keyvalue.KeyValueService, vm_list: vmlist.VmList,
                 rng: random.Random) -> None:
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        self._link = link
        self._rng = rng
        self._registry = runtime.make_registry()
        self._metrics = metrics.AgentMetrics(self._registry)
        self._sleeper = sleeper.Sleeper(reactor)
        self._detector = membership.FailureDetector(
            messages.Member(settings.vm, settings.ip, settings.zone,
                            settings.region, messages.MemberState.ALIVE,
                            link.incarnation), rng)
        self._leaving_vms = leaving_vm_tracker.LeavingVmTracker()
        self._crash_tracker = crash_tracker.CrashTracker()
        self._view_publisher = view_publisher.ViewPublisher(settings.ip)
        self._query_client = query_client.QueryClient(link, reactor)
        counted = counted_service.CountedKeyValueService(
            service, self._registry)
        self._block_store = request_block_store.RequestBlockStore(
            counted, clock, self._sleeper, rng)
        self._synchronizer = synchronizer_module.ConfigurationSynchronizer(
            counted, clock, self._sleeper, backoff.Backoff(rng),
            self._is_watcher, self._handle_adoption, self._pull_configuration)
        self._applier = applier.Applier(counted, clock, self._sleeper,
                                        backoff.Backoff(rng),
                                        self._synchronizer)
        self._vm_list_poller = vm_list_poller.VmListPoller(
            vm_list, clock, self._sleeper, backoff.Backoff(rng),
            self._is_watcher, self._handle_vm_list)
        self._gossip = gossip.Gossip(link, self._detector, self._synchronizer,
                                     self._leaving_vms, self._crash_tracker,
                                     settings.vm, clock, rng, self._store_block)
        own_peer = messages.Peer(settings.ip, messages.Role.AGENT)
        self._fleet_querier = fleet_query.FleetQuerier(
            own_peer, self._query_client, self._detector.members,
            self._read_versions, self._list_handover_records)
        self._handover_store = handover_store.HandoverStore(HANDOVER_RETENTION)
        counts_store = burn_store.BurnStore(counted)
        counts_reader = fleet_counts_reader.FleetCountsReader(
            self._fleet_querier)
        self._collector = burn_collector.BurnCollector(
            settings.vm, settings.burn_minute_seconds, clock, counts_store,
            counts_reader, self._detector.members)
        reporter = burn_reporter.BurnReporter(settings.burn_minute_seconds,
                                              clock, counts_store,
                                              counts_reader)
        self._operator_api = operator_api.OperatorApi(
            runtime.OperatorsSite(settings, self._registry, self._is_ready),
            self._synchronizer, self._applier, self._fleet_querier, reporter,
            self._detector.members, self._list_leaving)
        self._handlers = self._make_handlers()
        self._loops = (task.LoopingCall(self._tick),
                       task.LoopingCall(self._run_maintenance),
                       task.LoopingCall(self._collect_counts))
        self._stopping = False

    async def start(self) -> None:
        """Starts all loops and the operators' HTTP server."""
        self.start_loops()
        await runtime.listen_http(self._reactor, self._operator_api.make_site(),
                                  self._settings.ip,
                                  self._settings.agent_operators_port,
                                  self._settings.operators_tls)

    def start_loops(self) -> None:
        """Opens the link and starts all loops, without the HTTP server."""
        self._link.set_handler(self._handle_message)
        self._link.open()
        periods = (TICK_PERIOD, MAINTENANCE_PERIOD, COLLECTION_PERIOD)
        for loop, period in zip(self._loops, periods):
            loop.clock = self._reactor
            _log_failure(loop.start(period.total_seconds()))
        _start_task(self._synchronizer.run())
        _start_task(self._vm_list_poller.run())
        _start_task(self._load_blocks())

    async def stop(self) -> None:
        """Announces that this VM is leaving, then stops all loops."""
        self._stopping = True
        self._send_all(self._detector.announce_leaving(self._clock.monotonic()))
        self._synchronizer.stop()
        self._vm_list_poller.stop()
        await self._sleeper.sleep(STOP_FLUSH_DELAY)
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._link.close()

    def _make_handlers(
        self
    ) -> dict[type, collections.abc.Callable[[messages.Envelope], None]]:
        return {
            messages.Ping: self._handle_ping,
            messages.PingAck: self._handle_ping_ack,
            messages.ConfigurationPush: self._handle_push,
            messages.ConfigurationPull: self._handle_pull,
            messages.LeavingNotice: self._handle_leaving_notice,
            messages.CrashReport: self._handle_crash_report,
            messages.RequestBlockNotice: self._handle_block_notice,
            messages.ViewAck: self._handle_view_ack,
            messages.SchedulerTimeout: self._handle_scheduler_timeout,
            messages.Query: self._handle_query,
            messages.QueryReply: self._handle_query_reply,
            messages.LevelHandover: self._handle_handover,
        }

    def _handle_message(self, envelope: messages.Envelope) -> None:
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            _log.warning(
                "dropped a message of kind %s, which agents do not handle",
                type(envelope.body).__name__)
            return
        handler(envelope)
        self._publish_view()

    def _handle_ping(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.Ping, envelope.body)
        self._send_all(
            self._detector.handle_ping(envelope.sender, body,
                                       self._clock.monotonic()))
        self._gossip.compare_version(envelope.sender, body.version)

    def _handle_ping_ack(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.PingAck, envelope.body)
        self._send_all(
            self._detector.handle_ack(envelope.sender, body,
                                      self._clock.monotonic()))
        self._gossip.compare_version(envelope.sender, body.version)

    def _handle_push(self, envelope: messages.Envelope) -> None:
        self._gossip.handle_push(
            typing.cast(messages.ConfigurationPush, envelope.body))

    def _handle_pull(self, envelope: messages.Envelope) -> None:
        self._gossip.handle_pull(
            envelope.sender,
            typing.cast(messages.ConfigurationPull, envelope.body))

    def _handle_leaving_notice(self, envelope: messages.Envelope) -> None:
        self._gossip.handle_leaving_notice(
            typing.cast(messages.LeavingNotice, envelope.body))

    def _handle_crash_report(self, envelope: messages.Envelope) -> None:
        self._gossip.handle_crash_report(
            typing.cast(messages.CrashReport, envelope.body))

    def _handle_block_notice(self, envelope: messages.Envelope) -> None:
        self._gossip.handle_block_notice(
            typing.cast(messages.RequestBlockNotice, envelope.body))

    def _handle_view_ack(self, envelope: messages.Envelope) -> None:
        self._send_all(
            self._view_publisher.handle_ack(
                envelope.sender, envelope.incarnation,
                typing.cast(messages.ViewAck, envelope.body)))

    def _handle_scheduler_timeout(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.SchedulerTimeout, envelope.body)
        self._send_all(
            self._detector.probe_now(body.vm, self._clock.monotonic()))

    def _handle_query(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.Query, envelope.body)
        _start_task(self._answer_query(envelope.sender, body))

    def _handle_query_reply(self, envelope: messages.Envelope) -> None:
        self._query_client.handle_reply(
            envelope.sender, typing.cast(messages.QueryReply, envelope.body))

    def _handle_handover(self, envelope: messages.Envelope) -> None:
        self._handover_store.add(
            typing.cast(messages.LevelHandover, envelope.body),
            self._clock.monotonic())

    def _list_handover_records(self,
                               subject: str) -> tuple[reports.LevelRecord, ...]:
        return self._handover_store.list_records(reports.parse_range(subject),
                                                 self._clock.monotonic())

    def _collect_counts(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._collector.collect_due_records())

    async def _answer_query(self, sender: messages.Peer,
                            query: messages.Query) -> None:
        report = await self._fleet_querier.query_local(query.kind,
                                                       query.subject)
        body = msgspec.json.encode(report)
        self._link.send(
            sender, messages.QueryReply(query.query_id, self._settings.vm,
                                        body))

    def _handle_adoption(self,
                         document: configuration.VersionedDocument) -> None:
        self._detector.set_version(document.version)
        self._gossip.announce_document(document)
        self._publish_view()

    def _handle_vm_list(self, records: tuple[vmlist.VmRecord, ...]) -> None:
        now = self._clock.monotonic()
        self._send_all(self._detector.update_list(records, now))
        if self._synchronizer.is_booting:
            self._gossip.pull_configuration()
        self._gossip.announce_leaving(
            self._leaving_vms.handle_vm_list(records, now))
        self._publish_view()

    def _store_block(self, block: messages.RequestBlock) -> None:
        if self._is_watcher():
            _start_task(self._block_store.write(block))

    async def _load_blocks(self) -> None:
        retry_backoff = backoff.Backoff(self._rng)
        while not self._stopping:
            try:
                blocks = await self._block_store.read_all()
                self._crash_tracker.add_blocks(blocks, self._clock.now())
                return
            except errors.KeyValueError as error:
                _log.warning("%s", error)
                await self._sleeper.sleep(retry_backoff.next_delay())

    def _tick(self) -> None:
        self._send_all(self._detector.tick(self._clock.monotonic()))
        self._publish_view()

    def _run_maintenance(self) -> None:
        self._link.close_idle_connections()
        self._crash_tracker.remove_expired(self._clock.now())
        self._metrics.set_members(self._detector.members())
        self._metrics.set_version(self._synchronizer.version)
        self._metrics.set_watcher(self._is_watcher())
        self._metrics.set_bytes(self._link.sent_bytes,
                                self._link.received_bytes)

    def _publish_view(self) -> None:
        content = messages.View(0, self._synchronizer.version,
                                self._synchronizer.in_force,
                                self._detector.members(), self._list_leaving(),
                                self._crash_tracker.list_blocks(),
                                self._crash_tracker.list_suspects())
        self._send_all(
            self._view_publisher.publish(content, self._clock.monotonic()))

    def _send_all(
            self,
            sent: collections.abc.Iterable[messages.AddressedMessage]) -> None:
        for each in sent:
            self._link.send(each.peer, each.message)

    def _is_watcher(self) -> bool:
        members = self._detector.members()
        own_member = next(
            each for each in members if each.vm == self._settings.vm)
        return not self._stopping and watchers.is_watcher(own_member, members)

    def _pull_configuration(self) -> None:
        self._gossip.pull_configuration()

    def _is_ready(self) -> bool:
        return not self._stopping and self._synchronizer.in_force is not None

    def _list_leaving(self) -> tuple[str, ...]:
        return self._leaving_vms.find_endpoints(self._synchronizer.document)

    def _read_versions(self) -> fleetstatus.Versions:
        receiver_versions = self._view_publisher.get_versions()
        return fleetstatus.Versions(self._synchronizer.version,
                                    receiver_versions[messages.Role.ENTRY],
                                    receiver_versions[messages.Role.SCHEDULER])


def _start_task(
        work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    _log_failure(defer.ensureDeferred(work))


def _log_failure(work: defer.Deferred[typing.Any]) -> None:
    work.addErrback(lambda failure: _log.error(
        "a background task of the agent failed: %s", failure.getTraceback()))
