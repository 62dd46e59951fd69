"""VMs that elect a leader around a simulated store, in virtual time.

The world checks the promises of leadership after each step, from the calls
that VMs with a term send to an API.
"""

import random

from mustardwood import dispatch
from mustardwood import leadership
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import duty_leadership
from mustardwood.platform import freshness_gate
from mustardwood.platform import journal_store
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher
from mustardwood.platform import vm_registration
from mustardwood.platform.tests import simulated_store

ms = harness_module.ms
LEASE_TIME = ms(3000)
THAW_TIME = ms(300)
STEP = ms(20)


class _VmScheduler:
    """The timers of one VM, which run late if it is frozen."""

    def __init__(self, scheduler):
        self._scheduler = scheduler
        self._held = None
        self.is_dead = False

    def freeze(self):
        """Holds the timers back."""
        self._held = []

    def thaw(self):
        """Runs the timers that became due."""
        held, self._held = self._held, None
        for run in held:
            run()

    def call_later(self, delay, function):
        """See `dispatch.Scheduler`."""

        def run():
            if self.is_dead or timer.is_cancelled:
                return
            if self._held is not None:
                self._held.append(run)
            else:
                function()

        timer = self._scheduler.call_later(delay, run)
        return timer


class Vm:
    """The parts of a VM's process that elect a leader.

    Attributes:
        name: Name of the VM.
        pool: Its connections; see `simulated_store.SimulatedPool`.
        journal: Its log lines.
        leadership: The object under test.
    """

    def __init__(self, world, name):
        """Starts the process."""
        self.name = name
        self.journal = harness_module.FakeJournal()
        clock = world.clock
        self.scheduler = _VmScheduler(world.scheduler)
        self.pool = simulated_store.SimulatedPool(world.store, world.scheduler,
                                                  world.rng, lambda _: None)
        client = store_client.StoreClient(simulated_store.STORE_ADDRESS,
                                          self.pool, self.scheduler)
        stream_store = journal_store.JournalStore(client, clock, self.journal,
                                                  name)
        client.add_era_listener(stream_store.handle_era_change)
        self.watcher = store_watcher.StoreWatcher(
            client, clock, self.scheduler,
            dispatch.EndpointDirectory(clock,
                                       dispatch.EndpointNotices(name, clock)),
            dispatch.FreshnessProof(clock, ms(5000), ms(500)),
            freshness_gate.FreshnessGate(clock,
                                         is_first_start=False), self.journal,
            lambda _: None, lambda *_: None, stream_store, world.rng,
            store_watcher.WatchTimes(ms(2000), ms(300)), ms(2400), lambda: 0)
        self._registration = vm_registration.VmRegistration(
            client, self.scheduler, self.journal, name, "192.0.2.1:1",
            lambda: len(world.vms), world.rng)
        client.add_era_listener(self._registration.handle_era_change)
        self.leadership = duty_leadership.DutyLeadership(
            client, clock, self.scheduler, self.journal, name,
            leadership.ElectionTimes.from_bound(LEASE_TIME, ms(500)))
        self.leadership.attach(self.watcher)
        self.is_frozen = False
        self.thawed_at = ms(-10_000)
        self.watcher.start()
        self._registration.start()

    def terminate(self):
        """Handles SIGTERM."""
        self.leadership.stop()
        self._registration.stop()

    def kill(self):
        """Ends the process without a trace."""
        self.scheduler.is_dead = True
        self.pool.freeze()

    def freeze(self):
        """Suspends the VM."""
        self.is_frozen = True
        self.scheduler.freeze()
        self.pool.freeze()

    def thaw(self, now):
        """Resumes the VM."""
        self.is_frozen = False
        self.thawed_at = now
        self.pool.thaw()
        self.scheduler.thaw()

    def find_events(self, name):
        """Returns the fields of the log lines of an event."""
        return [fields for event, fields in self.journal.lines if event == name]


class World:
    """A store, VMs, and an API that receives the calls of holders.

    Attributes:
        vms: The running VMs by name.
        calls: Times, names and tokens of the calls that the API received.
    """

    def __init__(self, seed, count):
        """Starts VMs with numbers from 0."""
        self.rng = random.Random(seed)
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.store = simulated_store.SimulatedStore(self.clock)
        self.vms = {}
        self.calls = []
        self._last_caller = ""
        self._last_call_at = {}
        self._max_token = 0
        self._token_holders = {}
        for number in range(count):
            self.start_vm(f"vm-{number}")
            self.run(20)

    @property
    def now(self):
        """Present monotonic time."""
        return self.clock.monotonic()

    def start_vm(self, name):
        """Starts a VM's process, or starts it again."""
        self.vms[name] = Vm(self, name)
        return self.vms[name]

    def kill_vm(self, name):
        """Kills a VM's process."""
        self.vms.pop(name).kill()

    def find_holders(self):
        """Returns the names of the VMs that may act now."""
        return [
            vm.name
            for vm in self.vms.values()
            if not vm.is_frozen and vm.leadership.find_term() is not None
        ]

    def run(self, milliseconds):
        """Advances the time and checks the promises."""
        until = self.now + ms(milliseconds)
        while self.now < until:
            self.scheduler.advance(STEP)
            if not self.store.is_away:
                self.store.end_leases()
                self.store.answer_watches()
            self._act()

    def wait_for_holder(self, limit_ms=20_000):
        """Runs until one VM may act; returns its name and the time taken."""
        start = self.now
        while not self.find_holders():
            assert self.now - start < ms(limit_ms), "nobody holds the term"
            self.run(20)
        name, = self.find_holders()
        return name, (self.now - start) // ms(1)

    def _act(self):
        holders = []
        for vm in self.vms.values():
            if vm.is_frozen:
                continue
            term = vm.leadership.find_term()
            if term is None:
                continue
            holders.append(vm.name)
            assert term.holder == vm.name
            owner = self._token_holders.setdefault(term.token, vm.name)
            assert owner == vm.name, "two VMs have sent the same token"
            delay = self.rng.uniform(
                0, leadership.MAX_CALL_TIME / ms(1) - 2 * (STEP / ms(1)))
            self.scheduler.call_later(
                ms(delay), lambda vm=vm, term=term: self._receive(vm, term))
        assert len(holders) <= 1, f"two holders: {holders}"

    def _receive(self, vm, term):
        assert term.token >= self._max_token, "a lower token was received"
        self._max_token = term.token
        self.calls.append((self.now, vm.name, term.token))
        if self._last_caller not in ("", vm.name):
            last_at = self._last_call_at.get(vm.name, -LEASE_TIME)
            assert self.now - last_at > LEASE_TIME, (
                f"{vm.name} acted again too soon after {self._last_caller}")
        self._last_caller = vm.name
        self._last_call_at[vm.name] = self.now
