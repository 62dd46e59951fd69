"""A simulated network of failure detectors in virtual time."""

import collections.abc
import datetime
import heapq
import itertools
import random

from mustardwood import membership
from mustardwood import messages
from mustardwood import vmlist

_SECOND = datetime.timedelta(seconds=1)


class Network:
    """Delivers messages with delays, losses and cut links.

    Attributes:
        rng: Source of randomness.
        now: Current virtual time.
        loss: Probability that a message is lost.
        detectors: Detectors by VM; removing one stops its VM for good.
        is_link_cut: Returns whether a message from one VM to another is lost.
        suspended: Suspended VMs; they receive messages when they resume.
        sent_count: Number of messages sent by each VM.
        records: The platform's list of VMs.
    """

    def __init__(self, size: int, seed: int, *, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.now = datetime.timedelta()
        self.loss = loss
        self.is_link_cut: collections.abc.Callable[[str, str],
                                                   bool] = _cut_no_link
        self.suspended: set[str] = set()
        self.sent_count: dict[str, int] = {}
        self.records = tuple(
            vmlist.VmRecord(f"vm{i}", f"127.9.{i // 200}.{i % 200 + 1}",
                            f"zone{i % 3}", "region") for i in range(size))
        self._names = {each.ip: each.vm for each in self.records}
        self.detectors: dict[str, membership.FailureDetector] = {}
        self._events: list = []
        self._order = itertools.count()
        self._tick_period = _SECOND / 10 if size <= 16 else _SECOND / 5
        for each in self.records:
            self.start(each.vm)

    def start(self, vm: str, incarnation: int = 1) -> None:
        """Starts a VM's detector and gives it the platform's list."""
        record = next(each for each in self.records if each.vm == vm)
        me = messages.Member(vm, record.ip, record.zone, record.region,
                             messages.MemberState.ALIVE, incarnation)
        detector = membership.FailureDetector(me,
                                              random.Random(self.rng.random()))
        self.detectors[vm] = detector
        self.send(vm, detector.update_list(self.records, self.now))
        self._push(self._tick_period * self.rng.random(),
                   lambda: self._tick(vm, detector))

    def send(
            self, vm: str,
            outgoing: collections.abc.Iterable[messages.AddressedMessage]
    ) -> None:
        """Sends messages of a VM, which may be lost."""
        sender = next(ip for ip, name in self._names.items()
                      if name == vm) if outgoing else ""
        for each in outgoing:
            self.sent_count[vm] = self.sent_count.get(vm, 0) + 1
            if self.rng.random() < self.loss:
                continue
            delay = datetime.timedelta(milliseconds=self.rng.uniform(0.5, 3.0))
            self._push(delay, lambda each=each: self._deliver(sender, each))

    def run(self, seconds: float) -> None:
        """Advances time and runs the events that are due."""
        end = self.now + datetime.timedelta(seconds=seconds)
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def run_until(self, condition: collections.abc.Callable[[], bool],
                  limit: float) -> float:
        """Runs until a condition holds, and returns the seconds it took."""
        began = self.now
        while not condition():
            assert (self.now - began).total_seconds() < limit, (
                "the condition did not hold in time")
            self.run(0.1)
        return (self.now - began).total_seconds()

    def states(self, vm: str) -> set[messages.MemberState | None]:
        """Returns the states that the other VMs' tables hold for a VM."""
        return {
            find_state(detector, vm)
            for name, detector in self.detectors.items()
            if name != vm
        }

    def _push(self, delay: datetime.timedelta,
              action: collections.abc.Callable[[], None]) -> None:
        heapq.heappush(self._events,
                       (self.now + delay, next(self._order), action))

    def _tick(self, vm: str, detector: membership.FailureDetector) -> None:
        if self.detectors.get(vm) is not detector:
            return
        if vm not in self.suspended:
            self.send(vm, detector.tick(self.now))
        self._push(self._tick_period, lambda: self._tick(vm, detector))

    def _deliver(self, sender: str,
                 addressed: messages.AddressedMessage) -> None:
        vm = self._names[addressed.peer.ip]
        detector = self.detectors.get(vm)
        if detector is None or self.is_link_cut(self._names[sender], vm):
            return
        if vm in self.suspended:
            self._push(_SECOND / 10, lambda: self._deliver(sender, addressed))
            return
        peer = messages.Peer(sender, messages.Role.AGENT)
        if isinstance(addressed.message, messages.Ping):
            out = detector.handle_ping(peer, addressed.message, self.now)
        else:
            out = detector.handle_ack(peer, addressed.message, self.now)
        self.send(vm, out)


def _cut_no_link(sender: str, receiver: str) -> bool:
    del sender, receiver
    return False


def find_state(detector: membership.FailureDetector,
               vm: str) -> messages.MemberState | None:
    """Returns a VM's state in one detector's table; None when absent."""
    return next((each.state for each in detector.members() if each.vm == vm),
                None)
