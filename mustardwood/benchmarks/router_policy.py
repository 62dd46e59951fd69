"""The router's scheduler and entries as a benchmark policy."""

import datetime
import functools

from mustardwood import cells
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.benchmarks import bench_entry
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import environment as environment_module

_TICK_SECONDS = 0.05
_LOAD_POLL_SECONDS = 1.0
_OWNER_TIMEOUT_SECONDS = 1.0
_FRAME_HEADER_BYTES = 24
"""Size of the TCP and link headers of a message."""


class RouterPolicy:
    """Runs the real cell scheduler on its owner VM, with modelled entries.

    Attributes:
        name: Name in result tables.
        control_bytes: Total size of the messages between entries and owner,
            in bytes.
    """

    name = "mustardwood"

    def __init__(self) -> None:
        self.control_bytes = 0
        self._environment: environment_module.Environment
        self._scheduler: scheduling.CellScheduler
        self._entries: dict[str, bench_entry.BenchEntry] = {}
        self._peers: dict[messages.Peer, str] = {}
        self._ranking: list[str] = []
        self._dead_vms: set[str] = set()

    def start(self, environment: environment_module.Environment) -> None:
        """Creates the entries and the scheduler and starts their timers."""
        self._environment = environment
        environment.start_load_reports()
        cell = cells.build_cells(environment.workload.document)[0]
        members = [
            messages.Member(vm, vm, zone, cell.region,
                            messages.MemberState.ALIVE)
            for vm, zone in environment.workload.vms.items()
        ]
        ranked = cells.rank_owners(cell.name, cell.region, members)
        self._ranking = [each.vm for each in ranked]
        self._entries = {
            vm:
                bench_entry.BenchEntry(vm, cell.name, environment,
                                       self._send_to_owner)
            for vm in environment.workload.vms
        }
        self._peers = {
            messages.Peer(vm, messages.Role.ENTRY): vm
            for vm in environment.workload.vms
        }
        self._start_scheduler()
        self._tick()
        self._poll_load()

    def handle_request(self, request: bench_request.BenchRequest) -> None:
        """Passes a request to the entry of its VM."""
        self._entries[request.vm].handle_request(request)

    def kill_owner(self) -> None:
        """Kills the scheduler of the cell's owner.

        Each entry switches to the next owner after its own detection delay.
        """
        self._dead_vms.add(self._ranking[0])
        for vm, entry in self._entries.items():
            detection_delay = _OWNER_TIMEOUT_SECONDS * (
                1.0 + self._environment.rng.random())
            self._environment.timeline.call_later(
                detection_delay, functools.partial(self._switch_owner, vm,
                                                   entry))

    @property
    def _owner(self) -> str:
        return self._ranking[0]

    def _start_scheduler(self) -> None:
        document = self._environment.workload.document
        cell = cells.build_cells(document)[0]
        self._scheduler = scheduling.CellScheduler.from_config(cell, document)

    def _switch_owner(self, vm: str, entry: bench_entry.BenchEntry) -> None:
        del vm
        if self._owner in self._dead_vms:
            self._ranking.pop(0)
            self._start_scheduler()
        entry.send_open_work()

    def _send_to_owner(self, vm: str, message: messages.Message) -> None:
        owner = self._owner
        self._count_bytes(message)
        delay = self._environment.find_vm_delay(vm, owner)
        self._environment.timeline.call_later(
            delay, functools.partial(self._deliver_to_owner, vm, owner,
                                     message))

    def _deliver_to_owner(self, vm: str, owner: str,
                          message: messages.Message) -> None:
        if owner in self._dead_vms or owner != self._owner:
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
        self._send_to_entries(answers)

    def _send_to_entries(
            self, answers: tuple[messages.AddressedMessage, ...]) -> None:
        for answer in answers:
            vm = self._peers[answer.peer]
            self._count_bytes(answer.message)
            delay = self._environment.find_vm_delay(self._owner, vm)
            self._environment.timeline.call_later(
                delay,
                functools.partial(self._entries[vm].handle_message,
                                  answer.message))

    def _tick(self) -> None:
        self._environment.timeline.call_later(_TICK_SECONDS, self._tick)
        if self._owner not in self._dead_vms:
            self._send_to_entries(self._scheduler.tick(self._now))

    def _poll_load(self) -> None:
        self._environment.timeline.call_later(_LOAD_POLL_SECONDS,
                                              self._poll_load)
        if self._owner in self._dead_vms:
            return
        lag = datetime.timedelta(seconds=self._environment.scenario.load_lag)
        for endpoint in self._environment.endpoints:
            if endpoint.name in self._environment.down_endpoints:
                continue
            load = self._environment.read_load(endpoint.name)
            report = scheduling.LoadReport(load.running, load.queued, 0, lag)
            self._send_to_entries(
                self._scheduler.handle_load_report(endpoint.name, report,
                                                   self._now))

    @property
    def _now(self) -> datetime.timedelta:
        return self._environment.timeline.now

    def _count_bytes(self, message: messages.Message) -> None:
        peer = messages.Peer("127.0.0.1", messages.Role.ENTRY)
        data = messages.encode_envelope(messages.Envelope(peer, 1, message))
        self.control_bytes += len(data) + _FRAME_HEADER_BYTES
