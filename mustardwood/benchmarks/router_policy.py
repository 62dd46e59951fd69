"""The router's own decisions in virtual time."""

import datetime
import functools

from mustardwood import cells
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.benchmarks import bench_entry
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import world as world_module

_TICK_SECONDS = 0.05
_LOAD_SECONDS = 1.0
_OWNER_TIMEOUT_SECONDS = 1.0
_FRAME_BYTES = 24
"""Bytes of a TCP segment's and link's headers that are not in the message."""


class RouterPolicy:
    """Entries on all VMs, and the scheduler of the cell on its owner.

    Attributes:
        name: Name for tables.
        control_bytes: Bytes of messages between entries and owner.
    """

    name = "mustardwood"

    def __init__(self) -> None:
        self.control_bytes = 0
        self._world: world_module.World
        self._scheduler: scheduling.CellScheduler
        self._entries: dict[str, bench_entry.BenchEntry] = {}
        self._peers: dict[messages.Peer, str] = {}
        self._ranking: list[str] = []
        self._dead: set[str] = set()

    def start(self, world: world_module.World) -> None:
        """Prepares for a run in a world."""
        self._world = world
        world.start_reports()
        cell = cells.build_cells(world.workload.document)[0]
        members = [
            messages.Member(vm, vm, zone, cell.region,
                            messages.MemberState.ALIVE)
            for vm, zone in world.workload.vms.items()
        ]
        ranked = cells.rank_owners(cell.name, cell.region, members)
        self._ranking = [each.vm for each in ranked]
        self._entries = {
            vm: bench_entry.BenchEntry(vm, cell.name, world, self._send_up)
            for vm in world.workload.vms
        }
        self._peers = {
            messages.Peer(vm, messages.Role.ENTRY): vm
            for vm in world.workload.vms
        }
        self._start_scheduler()
        self._tick()
        self._poll_load()

    def arrive(self, request: bench_request.BenchRequest) -> None:
        """Takes a request at its VM's entry."""
        self._entries[request.vm].arrive(request)

    def lose_owner(self) -> None:
        """Kills the scheduler process of the cell's owner."""
        self._dead.add(self._ranking[0])
        for vm, entry in self._entries.items():
            heard = _OWNER_TIMEOUT_SECONDS * (1.0 + self._world.rng.random())
            self._world.timeline.call_later(
                heard, functools.partial(self._switch_owner, vm, entry))

    @property
    def _owner(self) -> str:
        return self._ranking[0]

    def _start_scheduler(self) -> None:
        document = self._world.workload.document
        cell = cells.build_cells(document)[0]
        self._scheduler = scheduling.CellScheduler.from_config(cell, document)

    def _switch_owner(self, vm: str, entry: bench_entry.BenchEntry) -> None:
        del vm
        if self._owner in self._dead:
            self._ranking.pop(0)
            self._start_scheduler()
        entry.announce()

    def _send_up(self, vm: str, message: messages.Message) -> None:
        owner = self._owner
        self._count(message)
        delay = self._world.find_vm_delay(vm, owner)
        self._world.timeline.call_later(
            delay, functools.partial(self._deliver_up, vm, owner, message))

    def _deliver_up(self, vm: str, owner: str,
                    message: messages.Message) -> None:
        if owner in self._dead or owner != self._owner:
            return
        sender = messages.Peer(vm, messages.Role.ENTRY)
        scheduler = self._scheduler
        now = self._now
        answers: tuple[messages.AddressedMessage, ...] = ()
        if isinstance(message, messages.Ask):
            answers = scheduler.handle_ask(sender, message, now)
        elif isinstance(message, messages.OpenWork):
            answers = scheduler.handle_open_work(sender, message, now)
        elif isinstance(message, messages.AttemptReport):
            answers = scheduler.handle_attempt_report(sender, message, now)
        elif isinstance(message, messages.Withdrawal):
            answers = scheduler.handle_withdrawal(sender, message, now)
        self._send_down(answers)

    def _send_down(self, answers: tuple[messages.AddressedMessage,
                                        ...]) -> None:
        for answer in answers:
            vm = self._peers[answer.peer]
            self._count(answer.message)
            delay = self._world.find_vm_delay(self._owner, vm)
            self._world.timeline.call_later(
                delay,
                functools.partial(self._entries[vm].accept, answer.message))

    def _tick(self) -> None:
        self._world.timeline.call_later(_TICK_SECONDS, self._tick)
        if self._owner not in self._dead:
            self._send_down(self._scheduler.tick(self._now))

    def _poll_load(self) -> None:
        self._world.timeline.call_later(_LOAD_SECONDS, self._poll_load)
        if self._owner in self._dead:
            return
        lag = datetime.timedelta(seconds=self._world.scenario.load_lag)
        for endpoint in self._world.endpoints:
            if endpoint.name in self._world.down:
                continue
            load = self._world.read_load(endpoint.name)
            report = scheduling.LoadReport(load.running, load.queued, 0, lag)
            self._send_down(
                self._scheduler.handle_load_report(endpoint.name, report,
                                                   self._now))

    @property
    def _now(self) -> datetime.timedelta:
        return self._world.timeline.now

    def _count(self, message: messages.Message) -> None:
        peer = messages.Peer("127.0.0.1", messages.Role.ENTRY)
        data = messages.encode_envelope(messages.Envelope(peer, 1, message))
        self.control_bytes += len(data) + _FRAME_BYTES
