"""A fleet of VMs that report their usage, in virtual time without a network."""

import collections
import datetime
import random

import msgspec

from mustardwood import leadership
from mustardwood import timing
from mustardwood import usage
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
WINDOWS = usage.UsageWindows(ms(5000), ms(10_000))
STEP = ms(100)
_LEASE = ms(3000)
_DELAY = ms(5)
"""Time that a message, a call or its response takes."""


class SkewedClock:
    """A VM's clock, whose wall time differs from true time.

    Attributes:
        skew: Time by which the wall clock is ahead.
    """

    def __init__(self, clock, skew):
        self._clock = clock
        self.skew = skew

    def now(self):
        """Returns the wrong wall-clock time."""
        return self._clock.now() + self.skew

    def monotonic(self):
        """Returns the monotonic time."""
        return self._clock.monotonic()


class Store:
    """The key with the record, which loses responses and is restored.

    Attributes:
        era: Number of restores.
        value: The record; None if the key does not exist.
        revision: Revision of the key.
        leader: Token of the VM that holds the key of the term; 0 for none.
        fate: What happens to the next writes: ``ok``, ``lost response``,
            ``late`` (it takes effect later, without a response) or ``down``.
        writes: Number of writes that took effect.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.era = 0
        self.value = None
        self.revision = 0
        self._next_revision = 10
        self.leader = 0
        self.fate = "ok"
        self.writes = 0

    def copy(self):
        """Returns a snapshot."""
        return self.value, self.revision, self._next_revision, self.leader

    def restore(self, snapshot):
        """Replaces the contents by a snapshot and starts a new era."""
        (self.value, self.revision, self._next_revision, self.leader) = snapshot
        self.era += 1
        for vm in self._fleet.running:
            vm.reporter.handle_restore()
        self.list_key()

    def list_key(self):
        """Shows the key to all VMs that reach the store."""
        for vm in self._fleet.running:
            if not vm.is_cut_off:
                vm.reporter.handle_listing(self.era, self.value, self.revision)

    def write(self, vm, write):
        """Carries out a write, or a part of it, as `fate` says."""
        fate = "down" if vm.is_cut_off else self.fate
        if fate == "down":
            self._fleet.later(ms(50),
                              lambda: vm.reporter.handle_store_failure("down"))
        elif fate == "ok":
            revision = self._apply(write)
            self._fleet.later(
                _DELAY,
                lambda: vm.execute(vm.reporter.handle_written(write, revision)))
        else:
            delay = ms(4000) if fate == "late" else ms(0)
            self._fleet.later(delay, lambda: self._apply(write))
            self._fleet.later(ms(50),
                              lambda: vm.reporter.handle_store_failure("lost"))

    def _apply(self, write):
        if (write.expected_revision != self.revision or
                write.token not in (None, self.leader)):
            return None
        self.value = usage.decode_record(write.record.encode())
        self._next_revision += 1
        self.revision = self._next_revision
        self.writes += 1
        value, revision, era = self.value, self.revision, self.era
        for each in self._fleet.running:
            self._fleet.later(
                ms(300),
                lambda each=each: self._show(each, era, value, revision))
        return revision

    def _show(self, vm, era, value, revision):
        if era == self.era and not vm.is_cut_off:
            vm.reporter.handle_change(era, value, revision)


class Platform:
    """The platform's API, which checks the invariants of usage reports.

    Attributes:
        accepted: Counts of each accepted window.
        accepted_at: True time at which each window was accepted first.
        calls: Number of calls.
        fate: What happens to the next calls: ``ok``, ``lost response``,
            ``late``, ``error`` or ``rate limited``.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.accepted = {}
        self.accepted_at = {}
        self.calls = []
        self.fate = "ok"
        self._highest = 0
        self._refused = {}

    def report(self, vm, send):
        """Carries out a call as `fate` says."""
        self.calls.append((vm.name, send.window, self._fleet.clock.now()))
        assert send.term.token > self._refused.get(vm.name, -1)
        fate = self.fate
        if vm.is_cut_off:
            self._answer(vm, send, "FAILED", ms(400))
        elif fate == "ok":
            self._answer(vm, send, self._apply(vm, send), _DELAY)
        elif fate == "error":
            self._answer(vm, send, "FAILED", _DELAY)
        elif fate == "rate limited":
            self._answer(vm, send, "RATE_LIMITED", _DELAY, ms(700))
        else:
            self._fleet.later(
                ms(6000) if fate == "late" else ms(0),
                lambda: self._apply(vm, send))
            self._answer(vm, send, "NO_RESPONSE", ms(2000))

    def _answer(self, vm, send, outcome, delay, retry_after=None):
        result = leadership.CallResult(leadership.CallOutcome[outcome],
                                       retry_after)
        self._fleet.later(
            delay,
            lambda: vm.execute(vm.reporter.handle_call_result(send, result)))

    def _apply(self, vm, send):
        if send.term.token < self._highest:
            self._refused[vm.name] = send.term.token
            return "TOKEN_REFUSED"
        self._highest = send.term.token
        known = self.accepted.setdefault(send.window, dict(send.counts))
        assert known == send.counts, "two counts for one window"
        self.accepted_at.setdefault(send.window, self._fleet.clock.now())
        return "ACCEPTED"


class Vm:
    """The parts of a VM that count and report its usage."""

    def __init__(self, fleet, name, skew, incarnation):
        self.fleet = fleet
        self.name = name
        self.is_cut_off = False
        self.clock = SkewedClock(fleet.clock, skew)
        self.journal = harness_module.FakeJournal()
        self.true_time = usage.TrueTime(self.clock,
                                        lambda: len(fleet.running) - 1)
        self.counter = usage.UsageCounter(WINDOWS, self.true_time, self.clock)
        self.ledger = usage.UsageLedger(WINDOWS)
        self.reporter = usage.UsageReporter(name, WINDOWS, self.true_time,
                                            self.ledger, self.clock,
                                            self.journal)
        self.exchange = usage.UsageExchange(
            name, self.clock, self.true_time, self.counter, self.ledger,
            lambda: usage.choose_keepers(fleet.holder, fleet.order),
            self._handle_left_out, random.Random(f"{name} {incarnation}"))

    def _handle_left_out(self, vm, requests):
        if self.fleet.holder == self.name:
            self.reporter.handle_left_out(vm, requests)

    def step(self):
        """Decides what to do now."""
        self.exchange.record_own_counts()
        self.counter.close_windows(self.reporter.finalized_through)
        self.execute(
            self.reporter.decide(self.fleet.find_term(self),
                                 [each.name for each in self.fleet.running]))

    def execute(self, actions):
        """Carries out actions, unless the VM was killed."""
        if self not in self.fleet.running:
            return
        for each in actions:
            if isinstance(each, usage.RecordWrite):
                self.fleet.store.write(self, each)
            elif isinstance(each, usage.RecordRead):
                self.fleet.later(_DELAY, self._read)
            elif isinstance(each, usage.WindowSend):
                assert self.fleet.find_term(self) == each.term
                self.fleet.platform.report(self, each)
            else:
                self.fleet.end_term()

    def _read(self):
        store = self.fleet.store
        self.reporter.handle_read(store.era, store.value, store.revision)

    def list_events(self, event):
        """Returns the fields of the log lines of an event."""
        return [fields for name, fields in self.journal.lines if name == event]


class Fleet:
    """VMs with requests, a store, the API and a fake of the leadership.

    Attributes:
        order: Names of the VMs in the stable order of candidates.
        running: The VMs that run.
        holder: VM that holds the term as far as VMs know.
        begun: True numbers of requests by window and organisation.
        messages: Number of messages with counts.
        message_bytes: Sizes of all parts of updates in bytes.
    """

    def __init__(self, vms=9, skews=None, seed=1, rate=4.0):
        self.rng = random.Random(seed)
        self.clock = timing.ManualClock()
        self.clock.advance(ms(1750))
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.rate = rate
        self.order = [f"vm-{number}" for number in range(vms)]
        self.running = []
        self.holder = ""
        self._term = None
        self._terms = 0
        self._incarnations = collections.Counter()
        self.store = Store(self)
        self.platform = Platform(self)
        self.begun = collections.defaultdict(collections.Counter)
        self.messages = 0
        self.message_bytes = []
        for number, name in enumerate(self.order):
            self.start(name, ms(0) if skews is None else skews[number])

    def start(self, name, skew=ms(0)):
        """Starts a VM."""
        self._incarnations[name] += 1
        vm = Vm(self, name, skew, self._incarnations[name])
        self.running.append(vm)
        vm.reporter.handle_listing(self.store.era, self.store.value,
                                   self.store.revision)
        return vm

    def find(self, name) -> Vm:
        """Returns a running VM."""
        return next(each for each in self.running if each.name == name)

    def kill(self, name):
        """Ends a VM without notice; its peers learn of it later."""
        vm = self.find(name)
        self.running.remove(vm)
        if self._term is not None and self._term.holder == name:
            self._term = None
        return vm

    def elect(self, name):
        """Gives the term to a VM."""
        self.holder = name
        self._terms += 1
        self._term = leadership.Term(name, self.store.era * 2**40 + self._terms,
                                     self.clock.monotonic() + _LEASE)
        self.store.leader = self._term.token

    def end_term(self):
        """Ends the present term."""
        self._term = None
        self.store.leader = 0

    def find_term(self, vm):
        """Returns the term of a VM; None if it has none."""
        if self._term is None or self._term.holder != vm.name:
            return None
        return self._term

    def later(self, delay, function):
        """Makes a call later."""
        self.scheduler.call_later(delay, function)

    def run(self, span, begin=True):
        """Lets time pass, while requests begin."""
        until = self.clock.monotonic() + span
        while self.clock.monotonic() < until:
            if begin:
                self._begin_requests()
            for vm in list(self.running):
                self._send_reports(vm)
                vm.step()
            if self._term is not None:
                self._term = leadership.Term(self._term.holder,
                                             self._term.token,
                                             self.clock.monotonic() + _LEASE)
            self.scheduler.advance(STEP)

    def run_to(self, window, after=ms(0), begin=True):
        """Lets time pass until after the end of a window."""
        until = WINDOWS.find_end(window) + after
        self.run(until - self.clock.now(), begin)

    @property
    def window(self):
        """The present window in true time."""
        return WINDOWS.find_window(self.clock.now())

    def _begin_requests(self):
        for vm in self.running:
            for _ in range(self._draw_count()):
                organisation = self.rng.choice(("hule930", "fida11", "tatra"))
                vm.counter.record_begin(organisation, self.clock.monotonic())
                self.begun[self.window][organisation] += 1

    def _draw_count(self):
        mean = self.rate * STEP.total_seconds()
        return int(mean) + (self.rng.random() < mean % 1)

    def _send_reports(self, vm):
        for receiver in list(self.running):
            if receiver is vm or vm.is_cut_off or receiver.is_cut_off:
                continue
            report = vm.exchange.build_report(receiver.name)
            if report is None:
                continue
            data = msgspec.msgpack.encode(report)
            self.message_bytes.append(len(data))
            self.messages += bool(report.incarnation)
            decoded = msgspec.msgpack.decode(data, type=usage.UsageReport)
            self.later(_DELAY,
                       lambda receiver=receiver, decoded=decoded: receiver.
                       exchange.receive_report(vm.name, decoded))

    def find_error(self, window):
        """Returns the relative error of an accepted window over all VMs."""
        return max(
            abs(self.platform.accepted[window].get(organisation, 0) - count) /
            count for organisation, count in self.begun[window].items())

    def find_delay(self, window) -> datetime.timedelta:
        """Returns the time from the end of a window to its acceptance."""
        return self.platform.accepted_at[window] - WINDOWS.find_end(window)
