"""Real routers and schedulers in virtual time, for tests."""

import collections.abc
import datetime
import heapq
import itertools
import random

import msgspec
import prometheus_client

from mustardwood import cells
from mustardwood import configuration
from mustardwood import messages
from mustardwood import routing
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.scheduler import cell_table
from mustardwood.scheduler import message_handler
from mustardwood.scheduler import metrics

TIERS = 6
_LATENCY = datetime.timedelta(milliseconds=1.5)
_TICK = datetime.timedelta(milliseconds=50)
_VIEW_INTERVAL = datetime.timedelta(seconds=1)
_SERVICE_TIME = datetime.timedelta(seconds=1)
_MODEL = "m"
VMS = ("vm1", "vm2", "vm3")
_IPS = {vm: f"127.0.0.{index + 1}" for index, vm in enumerate(VMS)}
_NAMES = {ip: vm for vm, ip in _IPS.items()}

_State = messages.MemberState
_DECLINED = (messages.RefusalReason.STOPPING,
             messages.RefusalReason.UNKNOWN_CELL)
"""Reasons after which the entry asks the next owner."""


def make_document(queue_limit: int, concurrency: int) -> configuration.Document:
    """Returns a configuration with a class for each tier and one endpoint."""
    classes = tuple(
        configuration.RequestClass(f"t{tier}",
                                   tier,
                                   1.0,
                                   queue_limit=queue_limit,
                                   max_wait_seconds=300.0,
                                   expected_output_tokens=2)
        for tier in range(TIERS))
    return configuration.Document(
        classes=classes,
        default_class="t0",
        organisations=(configuration.Organisation("tatra"),),
        models=(configuration.Model(_MODEL),),
        endpoints=(configuration.Endpoint("e1",
                                          _MODEL,
                                          "http://127.0.9.1:1",
                                          "z",
                                          "r",
                                          concurrency=concurrency),))


class VirtualFleet:
    """Three VMs with an entry and a scheduler each, and one endpoint.

    Attributes:
        violations: Times and tiers of the requests that were refused while one
            of a lower tier waited at any entry.
        refused: Tiers of all refused requests.
        whole: Tiers of all answered requests.
        runs: Attempts started, by request.
    """

    def __init__(self, document: configuration.Document) -> None:
        self.clock = timing.ManualClock()
        self.violations: list[tuple[datetime.timedelta, int]] = []
        self.refused: list[int] = []
        self.whole: list[int] = []
        self.runs: dict[str, int] = {}
        self._document = document
        self._events: list = []
        self._order = itertools.count()
        self._frozen: dict[str, list[messages.Envelope]] = {}
        self._tiers: dict[str, int] = {}
        self._arrived: dict[str, datetime.timedelta] = {}
        self._answered: set[str] = set()
        self._states: dict[str, dict[str, messages.MemberState]] = {
            vm: {} for vm in VMS
        }
        self._silent: set[str] = set()
        self._sequence = itertools.count(1)
        self._routers = {vm: self._make_router(vm) for vm in VMS}
        self._handlers = {vm: self._make_handler(vm) for vm in VMS}
        for vm in VMS:
            self._publish(vm)
            self._tick(vm)

    @property
    def now(self) -> datetime.timedelta:
        """The virtual time."""
        return self.clock.monotonic()

    def send(self, vm: str, tier: int) -> None:
        """Sends a request of a tier to the entry of a VM."""
        name = f"r{next(self._order)}"
        self._tiers[name] = tier
        self._arrived[name] = self.now
        request = routing.CallerRequest(
            request_id=name,
            kind=routing.RequestKind.COMPLETION,
            model_or_service=_MODEL,
            request_class=self._document.classes[tier],
            organisation="tatra",
            arrived_at=self.now,
            idempotent=True,
            fingerprint=f"f-{name}",
            fields={
                "model": _MODEL,
                "prompt": name
            },
            stream=True)
        self._run(vm, self._routers[vm].handle_request(request, self.now))

    def freeze(self, vm: str) -> None:
        """Freezes the scheduler of a VM."""
        self._frozen[vm] = []

    def resume(self, vm: str) -> None:
        """Lets the scheduler of a VM go on, with all it missed."""
        for envelope in self._frozen.pop(vm):
            self._handle(vm, envelope)

    def silence_agent(self, vm: str) -> None:
        """Ends the views of a VM."""
        self._silent.add(vm)

    def show(self, viewer: str, vm: str, state: messages.MemberState) -> None:
        """Changes the state of a VM in the view of another one."""
        self._states[viewer][vm] = state
        self._publish_now(viewer)

    def run(self,
            until: float,
            arrive: collections.abc.Callable[[], None] = lambda: None) -> None:
        """Runs until a time in seconds; `arrive` is called each tick."""
        end = datetime.timedelta(seconds=until)
        due = self.now
        while self._events and self._events[0][0] <= end:
            at, _, call = heapq.heappop(self._events)
            self.clock.advance(at - self.now)
            while due <= at:
                due += _TICK
                arrive()
            call()
        self.clock.advance(end - self.now)

    def find_owner(self) -> str:
        """Returns the first VM in the order of the cell's owners."""
        members = tuple(
            messages.Member(vm, _IPS[vm], "z", "r", _State.ALIVE) for vm in VMS)
        cell = cells.build_cells(self._document)[0]
        return cells.rank_owners(cell.name, cell.region, members)[0].vm

    def count_open(self) -> int:
        """Returns how many requests are without a final answer."""
        return sum(each.open_requests for each in self._routers.values())

    def _make_router(self, vm: str) -> routing.Router:
        return routing.Router(vm, _IPS[vm], "r", self.clock, random.Random(vm),
                              routing.NoMetrics(),
                              routing.LeastLoadedSelector())

    def _make_handler(self, vm: str) -> message_handler.MessageHandler:
        settings = settings_module.Settings(vm, _IPS[vm], "z", "r", "")
        registry = prometheus_client.CollectorRegistry()
        table = cell_table.CellTable(metrics.SchedulerMetrics(registry))
        return message_handler.MessageHandler(settings, self.clock, table)

    def _after(self, delay: datetime.timedelta,
               call: collections.abc.Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self.now + delay, next(self._order), call))

    def _publish(self, vm: str) -> None:
        if vm not in self._silent:
            self._publish_now(vm)
        self._after(_VIEW_INTERVAL, lambda: self._publish(vm))

    def _publish_now(self, vm: str) -> None:
        held = configuration.VersionedDocument(
            1, "a",
            msgspec.json.encode(self._document).decode())
        members = tuple(
            messages.Member(each, _IPS[each], "z", "r", self._states[vm].get(
                each, _State.ALIVE)) for each in VMS)
        view = messages.View(next(self._sequence), 1, held, members, (), (), ())
        agent = messages.Peer(_IPS[vm], messages.Role.AGENT)
        envelope = messages.Envelope(agent, 1, view)
        self._run(vm, self._routers[vm].handle_message(envelope, self.now))
        self._handle(vm, envelope)

    def _tick(self, vm: str) -> None:
        self._run(vm, self._routers[vm].tick(self.now))
        if vm not in self._frozen:
            self._answer(vm, self._handlers[vm].tick())
        self._after(_TICK, lambda: self._tick(vm))

    def _handle(self, vm: str, envelope: messages.Envelope) -> None:
        if vm in self._frozen:
            self._frozen[vm].append(envelope)
            return
        self._answer(vm, self._handlers[vm].handle_message(envelope))

    def _answer(self, vm: str, answers: collections.abc.Iterable) -> None:
        """Sends a scheduler's answers, and checks its refusals."""
        refused = []
        for each in answers:
            message = each.message
            if isinstance(message, messages.Grant):
                self._answered.add(message.request_id)
            if isinstance(message, messages.Refusal):
                refused += self._note_refusal(message)
            peer = messages.Peer(_IPS[vm], messages.Role.SCHEDULER)
            self._deliver(each.peer, messages.Envelope(peer, 1, message))
        for name in refused:
            self._check_refused(name)

    def _note_refusal(self, refusal: messages.Refusal) -> list[str]:
        """Returns the request, unless another owner goes on with it."""
        name = refusal.request_id
        final = refusal.reason not in _DECLINED
        if not final or name not in self._tiers or name in self._answered:
            return []
        self._answered.add(name)
        return [name]

    def _check_refused(self, name: str) -> None:
        tier = self._tiers[name]
        waiting = (other for other, its_tier in self._tiers.items()
                   if its_tier > tier and other not in self._answered)
        if any(self._is_waiting(other) for other in waiting):
            self.violations.append((self.now, tier))

    def _is_waiting(self, name: str) -> bool:
        """Returns whether a request waits, and its ask is not on its way."""
        if self.now - self._arrived[name] < 2 * _LATENCY:
            return False
        return any(
            each.find_phase(name) is routing.RequestPhase.ASKING
            for each in self._routers.values())

    def _deliver(self, peer: messages.Peer,
                 envelope: messages.Envelope) -> None:
        vm = _NAMES[peer.ip]
        if peer.role is messages.Role.SCHEDULER:
            self._after(_LATENCY, lambda: self._handle(vm, envelope))
        elif peer.role is messages.Role.ENTRY:
            self._after(_LATENCY, lambda: self._take(vm, envelope))

    def _take(self, vm: str, envelope: messages.Envelope) -> None:
        self._run(vm, self._routers[vm].handle_message(envelope, self.now))

    def _run(self, vm: str, commands: list[routing.Command]) -> None:
        for each in commands:
            if isinstance(each, routing.SendMessage):
                me = messages.Peer(_IPS[vm], messages.Role.ENTRY)
                self._deliver(each.peer, messages.Envelope(me, 1, each.message))
            elif isinstance(each, routing.StartAttempt):
                self._start(vm, each)
            elif isinstance(each, routing.EndStream):
                self.whole.append(self._tiers.pop(each.caller))
            elif isinstance(each, routing.SendError):
                self.refused.append(self._tiers.pop(each.caller))

    def _start(self, vm: str, start: routing.StartAttempt) -> None:
        self.runs[start.request_id] = self.runs.get(start.request_id, 0) + 1
        self._after(_SERVICE_TIME, lambda: self._finish(vm, start))

    def _finish(self, vm: str, start: routing.StartAttempt) -> None:
        router = self._routers[vm]
        key = (start.request_id, start.attempt)
        choice = {"index": 0, "text": "x", "finish_reason": "stop"}
        event = {"id": start.attempt_id, "choices": [choice]}
        parts = [msgspec.json.encode(event), b"[DONE]"]
        self._run(vm, router.handle_head(*key, 200, (), self.now))
        self._run(vm, router.handle_events(*key, parts, self.now))
