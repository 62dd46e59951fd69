"""Fleet with real routers and schedulers in simulated time, for tests."""

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
_VMS_BY_IP = {ip: vm for vm, ip in _IPS.items()}

_State = messages.MemberState
_TRY_NEXT_OWNER_REASONS = (messages.RefusalReason.STOPPING,
                           messages.RefusalReason.UNKNOWN_CELL)
"""Refusal reasons after which the entry asks the next owner."""


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
        clock: Clock in simulated time.
        tier_inversions: Times and tiers of the requests that were refused
            while one of a less urgent tier waited at any entry.
        refused: Tiers of all refused requests.
        completed: Tiers of all completed requests.
        runs: Number of started attempts by request.
    """

    def __init__(self, document: configuration.Document) -> None:
        self.clock = timing.ManualClock()
        self.tier_inversions: list[tuple[datetime.timedelta, int]] = []
        self.refused: list[int] = []
        self.completed: list[int] = []
        self.runs: dict[str, int] = {}
        self._document = document
        self._events: list = []
        self._order = itertools.count()
        self._frozen: dict[str, list[messages.Envelope]] = {}
        self._tiers: dict[str, int] = {}
        self._arrived_at: dict[str, datetime.timedelta] = {}
        self._decided: set[str] = set()
        self._states: dict[str, dict[str, messages.MemberState]] = {
            vm: {} for vm in VMS
        }
        self._without_views: set[str] = set()
        self._sequence = itertools.count(1)
        self._routers = {vm: self._make_router(vm) for vm in VMS}
        self._handlers = {vm: self._make_handler(vm) for vm in VMS}
        for vm in VMS:
            self._publish(vm)
            self._tick(vm)

    @property
    def now(self) -> datetime.timedelta:
        """The simulated time."""
        return self.clock.monotonic()

    def send(self, vm: str, tier: int) -> None:
        """Sends a request of a tier to the entry of a VM."""
        name = f"r{next(self._order)}"
        self._tiers[name] = tier
        self._arrived_at[name] = self.now
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
        self._execute(vm, self._routers[vm].handle_request(request, self.now))

    def freeze(self, vm: str) -> None:
        """Freezes the scheduler of a VM; its messages are held back."""
        self._frozen[vm] = []

    def resume(self, vm: str) -> None:
        """Resumes the scheduler of a VM; it handles the messages held back."""
        for envelope in self._frozen.pop(vm):
            self._handle(vm, envelope)

    def stop_views(self, vm: str) -> None:
        """Stops the periodic views for the processes of a VM."""
        self._without_views.add(vm)

    def set_member_state(self, viewer: str, vm: str,
                         state: messages.MemberState) -> None:
        """Sets the state of a VM in the view of `viewer` and sends the view."""
        self._states[viewer][vm] = state
        self._publish_now(viewer)

    def run(self,
            until: float,
            arrive: collections.abc.Callable[[], None] = lambda: None) -> None:
        """Runs until a time in seconds; calls `arrive` at each tick."""
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
        """Returns the VM that owns the cell while all VMs are alive."""
        members = tuple(
            messages.Member(vm, _IPS[vm], "z", "r", _State.ALIVE) for vm in VMS)
        cell = cells.build_cells(self._document)[0]
        return cells.rank_owners(cell.name, cell.region, members)[0].vm

    def count_open(self) -> int:
        """Returns the number of requests without a final response."""
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

    def _call_later(self, delay: datetime.timedelta,
                    call: collections.abc.Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self.now + delay, next(self._order), call))

    def _publish(self, vm: str) -> None:
        if vm not in self._without_views:
            self._publish_now(vm)
        self._call_later(_VIEW_INTERVAL, lambda: self._publish(vm))

    def _publish_now(self, vm: str) -> None:
        versioned = configuration.VersionedDocument(
            1, "a",
            msgspec.json.encode(self._document).decode())
        members = tuple(
            messages.Member(each, _IPS[each], "z", "r", self._states[vm].get(
                each, _State.ALIVE)) for each in VMS)
        view = messages.View(next(self._sequence), 1, versioned, members, (),
                             (), ())
        agent = messages.Peer(_IPS[vm], messages.Role.AGENT)
        envelope = messages.Envelope(agent, 1, view)
        self._execute(vm, self._routers[vm].handle_message(envelope, self.now))
        self._handle(vm, envelope)

    def _tick(self, vm: str) -> None:
        self._execute(vm, self._routers[vm].tick(self.now))
        if vm not in self._frozen:
            self._send_answers(vm, self._handlers[vm].tick())
        self._call_later(_TICK, lambda: self._tick(vm))

    def _handle(self, vm: str, envelope: messages.Envelope) -> None:
        if vm in self._frozen:
            self._frozen[vm].append(envelope)
            return
        self._send_answers(vm, self._handlers[vm].handle_message(envelope))

    def _send_answers(self, vm: str, answers: collections.abc.Iterable) -> None:
        """Sends the messages of a scheduler and checks its refusals.

        Tier inversions are checked after all messages, so that requests
        granted at the same time do not count as waiting.
        """
        refused = []
        for each in answers:
            message = each.message
            if isinstance(message, messages.Grant):
                self._decided.add(message.request_id)
            if isinstance(message, messages.Refusal):
                refused += self._list_refused(message)
            peer = messages.Peer(_IPS[vm], messages.Role.SCHEDULER)
            self._deliver(each.peer, messages.Envelope(peer, 1, message))
        for name in refused:
            self._check_tier_order(name)

    def _list_refused(self, refusal: messages.Refusal) -> list[str]:
        """Returns the request of a final refusal, unless granted or refused.

        After some reasons the entry asks the next owner; those are not final.
        """
        name = refusal.request_id
        final = refusal.reason not in _TRY_NEXT_OWNER_REASONS
        if not final or name not in self._tiers or name in self._decided:
            return []
        self._decided.add(name)
        return [name]

    def _check_tier_order(self, name: str) -> None:
        tier = self._tiers[name]
        waiting = (other for other, its_tier in self._tiers.items()
                   if its_tier > tier and other not in self._decided)
        if any(self._is_waiting(other) for other in waiting):
            self.tier_inversions.append((self.now, tier))

    def _is_waiting(self, name: str) -> bool:
        """Returns whether a request waits and its ask has reached the owner.

        The ask of a request that arrived less than two message latencies ago
        may still be on its way.
        """
        if self.now - self._arrived_at[name] < 2 * _LATENCY:
            return False
        return any(
            each.find_phase(name) is routing.RequestPhase.ASKING
            for each in self._routers.values())

    def _deliver(self, peer: messages.Peer,
                 envelope: messages.Envelope) -> None:
        vm = _VMS_BY_IP[peer.ip]
        if peer.role is messages.Role.SCHEDULER:
            self._call_later(_LATENCY, lambda: self._handle(vm, envelope))
        elif peer.role is messages.Role.ENTRY:
            self._call_later(_LATENCY,
                             lambda: self._handle_at_router(vm, envelope))

    def _handle_at_router(self, vm: str, envelope: messages.Envelope) -> None:
        self._execute(vm, self._routers[vm].handle_message(envelope, self.now))

    def _execute(self, vm: str, commands: list[routing.Command]) -> None:
        for each in commands:
            if isinstance(each, routing.SendMessage):
                me = messages.Peer(_IPS[vm], messages.Role.ENTRY)
                self._deliver(each.peer, messages.Envelope(me, 1, each.message))
            elif isinstance(each, routing.StartAttempt):
                self._start_attempt(vm, each)
            elif isinstance(each, routing.EndStream):
                self.completed.append(self._tiers.pop(each.caller))
            elif isinstance(each, routing.SendError):
                self.refused.append(self._tiers.pop(each.caller))

    def _start_attempt(self, vm: str, start: routing.StartAttempt) -> None:
        self.runs[start.request_id] = self.runs.get(start.request_id, 0) + 1
        self._call_later(_SERVICE_TIME, lambda: self._finish_attempt(vm, start))

    def _finish_attempt(self, vm: str, start: routing.StartAttempt) -> None:
        router = self._routers[vm]
        key = (start.request_id, start.attempt)
        choice = {"index": 0, "text": "x", "finish_reason": "stop"}
        event = {"id": start.attempt_id, "choices": [choice]}
        parts = [msgspec.json.encode(event), b"[DONE]"]
        self._execute(vm, router.handle_head(*key, 200, (), self.now))
        self._execute(vm, router.handle_events(*key, parts, self.now))
