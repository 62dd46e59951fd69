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
from mustardwood.agent import burn_gatherer
from mustardwood.agent import burn_reporter
from mustardwood.agent import burn_store
from mustardwood.agent import configuration_keeper
from mustardwood.agent import conviction_board
from mustardwood.agent import conviction_store
from mustardwood.agent import counted_service
from mustardwood.agent import fleet_survey
from mustardwood.agent import gossip
from mustardwood.agent import handover_keeper
from mustardwood.agent import leaving_marks
from mustardwood.agent import list_poller
from mustardwood.agent import metrics
from mustardwood.agent import operators_pages
from mustardwood.agent import question
from mustardwood.agent import sleeper
from mustardwood.agent import view_publisher
from mustardwood.agent import watchers

TICK = datetime.timedelta(milliseconds=100)
"""Time between two looks at what is due."""

HOUSEKEEPING_PERIOD = datetime.timedelta(seconds=5)
"""Time between updates of metrics and closes of idle links."""

COLLECTION_PERIOD = datetime.timedelta(seconds=1)
"""Time between looks at what counts of service levels are due."""

HANDOVER_KEPT = datetime.timedelta(hours=1)
"""How long the counts of an entry that stopped are kept."""

STOP_DELAY = datetime.timedelta(milliseconds=300)
"""Time for the last messages to leave at a planned stop."""

_log = runtime.make_logger("agent")


class Agent:
    """Connects the decision cores with the link, the platform and the site.

    It is the only process of its VM that reads the configuration and the list
    of VMs; its entry and scheduler get both as views.
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
        self._marks = leaving_marks.LeavingMarks()
        self._board = conviction_board.ConvictionBoard()
        self._publisher = view_publisher.ViewPublisher(settings.ip)
        self._desk = question.QuestionDesk(link, reactor)
        counted = counted_service.CountedKeyValueService(
            service, self._registry)
        self._store = conviction_store.ConvictionStore(counted, clock,
                                                       self._sleeper, rng)
        self._keeper = configuration_keeper.ConfigurationKeeper(
            counted, clock, self._sleeper, backoff.Backoff(rng),
            self._is_watcher, self._accept_adoption, self._pull_configuration)
        self._applier = applier.Applier(counted, clock, self._sleeper,
                                        backoff.Backoff(rng), self._keeper)
        self._poller = list_poller.ListPoller(vm_list, clock, self._sleeper,
                                              backoff.Backoff(rng),
                                              self._is_watcher,
                                              self._accept_list)
        self._gossip = gossip.Gossip(link, self._detector, self._keeper,
                                     self._marks, self._board, settings.vm,
                                     clock, rng, self._keep_conviction)
        me = messages.Peer(settings.ip, messages.Role.AGENT)
        self._surveyor = fleet_survey.FleetSurveyor(me, self._desk,
                                                    self._detector.members,
                                                    self._read_versions,
                                                    self._list_handed)
        self._handovers = handover_keeper.HandoverKeeper(HANDOVER_KEPT)
        burns = burn_store.BurnStore(counted)
        gatherer = burn_gatherer.BurnGatherer(self._surveyor)
        self._collector = burn_collector.BurnCollector(
            settings.vm, settings.burn_minute_seconds, clock, burns, gatherer,
            self._detector.members)
        reporter = burn_reporter.BurnReporter(settings.burn_minute_seconds,
                                              clock, burns, gatherer)
        self._pages = operators_pages.OperatorsPages(
            runtime.OperatorsSite(settings, self._registry, self._is_ready),
            self._keeper, self._applier, self._surveyor, reporter,
            self._detector.members, self._list_leaving)
        self._handlers = self._make_handlers()
        self._loops = (task.LoopingCall(self._tick),
                       task.LoopingCall(self._keep_house),
                       task.LoopingCall(self._collect))
        self._stopping = False

    async def start(self) -> None:
        """Starts to listen, to probe and to watch the platform."""
        self.start_loops()
        await runtime.listen_http(self._reactor, self._pages.make_site(),
                                  self._settings.ip,
                                  self._settings.agent_operators_port,
                                  self._settings.operators_tls)

    def start_loops(self) -> None:
        """Starts everything but the operators' HTTP."""
        self._link.set_handler(self._accept)
        self._link.open()
        periods = (TICK, HOUSEKEEPING_PERIOD, COLLECTION_PERIOD)
        for loop, period in zip(self._loops, periods):
            loop.clock = self._reactor
            _watch_failure(loop.start(period.total_seconds()))
        _start(self._keeper.run())
        _start(self._poller.run())
        _start(self._read_convictions())

    async def stop(self) -> None:
        """Announces that this VM leaves, and stops."""
        self._stopping = True
        self._send_all(self._detector.announce_leaving(self._clock.monotonic()))
        self._keeper.stop()
        self._poller.stop()
        await self._sleeper.sleep(STOP_DELAY)
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._link.close()

    def _make_handlers(
        self
    ) -> dict[type, collections.abc.Callable[[messages.Envelope], None]]:
        return {
            messages.Ping: self._accept_ping,
            messages.PingAck: self._accept_ack,
            messages.ConfigurationPush: self._accept_push,
            messages.ConfigurationPull: self._accept_pull,
            messages.LeavingNotice: self._accept_leaving,
            messages.CrashReport: self._accept_suspicion,
            messages.RequestBlockNotice: self._accept_convictions,
            messages.ViewAck: self._accept_view_ack,
            messages.SchedulerTimeout: self._accept_silence,
            messages.Query: self._accept_query,
            messages.QueryReply: self._accept_reply,
            messages.LevelHandover: self._accept_handover,
        }

    def _accept(self, envelope: messages.Envelope) -> None:
        handler = self._handlers.get(type(envelope.body))
        if handler is None:
            _log.warning("a message of kind %s is not for an agent",
                         type(envelope.body).__name__)
            return
        handler(envelope)
        self._publish()

    def _accept_ping(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.Ping, envelope.body)
        self._send_all(
            self._detector.handle_ping(envelope.sender, body,
                                       self._clock.monotonic()))
        self._gossip.compare_version(envelope.sender, body.version)

    def _accept_ack(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.PingAck, envelope.body)
        self._send_all(
            self._detector.handle_ack(envelope.sender, body,
                                      self._clock.monotonic()))
        self._gossip.compare_version(envelope.sender, body.version)

    def _accept_push(self, envelope: messages.Envelope) -> None:
        self._gossip.accept_push(
            typing.cast(messages.ConfigurationPush, envelope.body))

    def _accept_pull(self, envelope: messages.Envelope) -> None:
        self._gossip.accept_pull(
            envelope.sender,
            typing.cast(messages.ConfigurationPull, envelope.body))

    def _accept_leaving(self, envelope: messages.Envelope) -> None:
        self._gossip.accept_leaving(
            typing.cast(messages.LeavingNotice, envelope.body))

    def _accept_suspicion(self, envelope: messages.Envelope) -> None:
        self._gossip.accept_suspicion(
            typing.cast(messages.CrashReport, envelope.body))

    def _accept_convictions(self, envelope: messages.Envelope) -> None:
        self._gossip.accept_convictions(
            typing.cast(messages.RequestBlockNotice, envelope.body))

    def _accept_view_ack(self, envelope: messages.Envelope) -> None:
        self._send_all(
            self._publisher.accept_ack(
                envelope.sender, envelope.incarnation,
                typing.cast(messages.ViewAck, envelope.body)))

    def _accept_silence(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.SchedulerTimeout, envelope.body)
        self._send_all(
            self._detector.probe_now(body.vm, self._clock.monotonic()))

    def _accept_query(self, envelope: messages.Envelope) -> None:
        body = typing.cast(messages.Query, envelope.body)
        _start(self._answer_query(envelope.sender, body))

    def _accept_reply(self, envelope: messages.Envelope) -> None:
        self._desk.accept_reply(envelope.sender,
                                typing.cast(messages.QueryReply, envelope.body))

    def _accept_handover(self, envelope: messages.Envelope) -> None:
        self._handovers.accept(
            typing.cast(messages.LevelHandover, envelope.body),
            self._clock.monotonic())

    def _list_handed(self, subject: str) -> tuple[reports.LevelRecord, ...]:
        return self._handovers.list_records(reports.parse_range(subject),
                                            self._clock.monotonic())

    def _collect(self) -> defer.Deferred[None]:
        return defer.ensureDeferred(self._collector.collect_due())

    async def _answer_query(self, sender: messages.Peer,
                            query: messages.Query) -> None:
        report = await self._surveyor.ask_local(query.kind, query.subject)
        body = msgspec.json.encode(report)
        self._link.send(
            sender, messages.QueryReply(query.query_id, self._settings.vm,
                                        body))

    def _accept_adoption(self,
                         document: configuration.VersionedDocument) -> None:
        self._detector.set_version(document.version)
        self._gossip.spread_document(document)
        self._publish()

    def _accept_list(self, records: tuple[vmlist.VmRecord, ...]) -> None:
        now = self._clock.monotonic()
        self._send_all(self._detector.update_list(records, now))
        if self._keeper.is_booting:
            self._gossip.pull_configuration()
        self._gossip.spread_leaving(self._marks.update_list(records, now))
        self._publish()

    def _keep_conviction(self, conviction: messages.RequestBlock) -> None:
        if self._is_watcher():
            _start(self._store.write(conviction))

    async def _read_convictions(self) -> None:
        delays = backoff.Backoff(self._rng)
        while not self._stopping:
            try:
                kept = await self._store.read_all()
                self._board.accept_convictions(kept, self._clock.now())
                return
            except errors.KeyValueError as error:
                _log.warning("%s", error)
                await self._sleeper.sleep(delays.next_delay())

    def _tick(self) -> None:
        self._send_all(self._detector.tick(self._clock.monotonic()))
        self._publish()

    def _keep_house(self) -> None:
        self._link.close_idle_connections()
        self._board.drop_old(self._clock.now())
        self._metrics.set_members(self._detector.members())
        self._metrics.set_version(self._keeper.version)
        self._metrics.set_watcher(self._is_watcher())
        self._metrics.set_bytes(self._link.sent_bytes,
                                self._link.received_bytes)

    def _publish(self) -> None:
        content = messages.View(0, self._keeper.version, self._keeper.in_force,
                                self._detector.members(), self._list_leaving(),
                                self._board.convictions(),
                                self._board.suspects())
        self._send_all(self._publisher.publish(content,
                                               self._clock.monotonic()))

    def _send_all(
            self,
            sent: collections.abc.Iterable[messages.AddressedMessage]) -> None:
        for each in sent:
            self._link.send(each.peer, each.message)

    def _is_watcher(self) -> bool:
        members = self._detector.members()
        me = next(each for each in members if each.vm == self._settings.vm)
        return not self._stopping and watchers.is_watcher(me, members)

    def _pull_configuration(self) -> None:
        self._gossip.pull_configuration()

    def _is_ready(self) -> bool:
        return not self._stopping and self._keeper.in_force is not None

    def _list_leaving(self) -> tuple[str, ...]:
        return self._marks.find_endpoints(self._keeper.document)

    def _read_versions(self) -> fleetstatus.Versions:
        held = self._publisher.versions()
        return fleetstatus.Versions(self._keeper.version,
                                    held[messages.Role.ENTRY],
                                    held[messages.Role.SCHEDULER])


def _start(
        work: collections.abc.Coroutine[typing.Any, typing.Any, None]) -> None:
    _watch_failure(defer.ensureDeferred(work))


def _watch_failure(work: defer.Deferred[typing.Any]) -> None:
    work.addErrback(
        lambda failure: _log.error("a task failed: %s", failure.getTraceback()))
