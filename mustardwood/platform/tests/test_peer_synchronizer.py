"""Peers that join, fall silent, and know a newer configuration."""

import random

import msgspec

from mustardwood import dispatch
from mustardwood import peers
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import peer_synchronizer
from mustardwood.platform import store_watcher
from mustardwood.platform.tests import documents

ms = harness_module.ms


class _Follower:
    """A follower with a configuration of a given revision."""

    def __init__(self, revision):
        self.revision = revision
        self.taken = []

    def apply_configuration(self, item):
        """Keeps the configuration of a peer."""
        self.taken.append(item)
        self.revision = item.revision


class _Pool:
    """Keeps what is asked of peers."""

    def __init__(self):
        self.asked = []

    def send(self, address, message, listener):
        """Keeps a question."""
        self.asked.append((address, message, listener))


class _Vm:

    def __init__(self, name, revision=5, clock=None):
        self.clock = clock or timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.loads = dispatch.LoadTable(self.clock)
        self.memory = dispatch.PrefixCacheIndex(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock, ms(5000), ms(500))
        self.follower = _Follower(revision)
        self.pool = _Pool()
        self.journal = harness_module.FakeJournal()
        self.sent = []
        self.link = peer_synchronizer.PeerSynchronizer(
            peers.PeerProtocol(name, self.clock, self.loads, self.memory,
                               dispatch.CrashRecord(self.clock), self.proof,
                               random.Random(name)), self.loads, self.clock,
            self.scheduler, self.pool, self.follower, self.journal, name)
        self.link.port.send = lambda data, address: self.sent.append(
            (data, address))

    def receive(self, data):
        """Delivers a datagram."""
        self.link.port.datagramReceived(data, ("192.0.2.9", 1))


def _join(vm, name="vm-2", address=b"192.0.2.2:8229"):
    vm.link.set_vm(name, address)


def test_changed_load_is_told_at_once_and_unchanged_load_seldom():
    vm = _Vm("vm-1")
    _join(vm)
    vm.link.start()
    vm.sent.clear()
    vm.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    vm.scheduler.advance(ms(25))
    assert len(vm.sent) == 1
    vm.sent.clear()
    vm.scheduler.advance(ms(1000))
    assert 3 <= len(vm.sent) <= 6


def test_idle_vm_of_a_large_deployment_still_counts():
    """At 60 VMs, ten rounds of messages last longer than a message counts."""
    vm = _Vm("vm-1")
    for number in range(59):
        _join(vm, f"peer-{number}", b"192.0.2.%d:8229" % (number + 10))
    vm.link.start()
    vm.sent.clear()
    lifetime = dispatch.PEER_REPORT_LIFETIME
    vm.scheduler.advance(10 * lifetime)
    assert len(vm.sent) >= 2 * 10 * 59


def test_own_registration_is_no_peer():
    vm = _Vm("vm-1")
    _join(vm, "vm-1")
    assert vm.link.count == 0


def test_unreadable_registration_is_no_peer():
    vm = _Vm("vm-1")
    _join(vm, "vm-2", b"\xff")
    assert vm.link.count == 0
    assert vm.journal.lines[-1][0] == "peer_rejected"


def test_peer_whose_registration_lapsed_counts_while_it_is_heard():
    clock = timing.ManualClock()
    here, there = _Vm("vm-1", clock=clock), _Vm("vm-2")
    _join(here)
    _join(there, "vm-1", b"192.0.2.1:8229")
    here.link.start()
    here.link.set_vm("vm-2", None)
    for _ in range(20):
        there.link.start()
        here.receive(there.sent[-1][0])
        here.scheduler.advance(ms(1000))
    assert here.link.count == 1
    here.scheduler.advance(ms(16_000))
    assert here.link.count == 0


def test_newer_configuration_is_read_from_the_peer_that_has_it():
    here, there = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(here)
    _join(there, "vm-1", b"192.0.2.1:8229")
    there.link.start()
    here.receive(there.sent[-1][0])
    here.scheduler.advance(ms(200))
    address, message, listener = here.pool.asked[0]
    assert address == ("192.0.2.2", 8229)
    assert message.target == peer_synchronizer.CONFIGURATION_PAGE
    item = documents.make_item(store_watcher.CONFIGURATION_KEY,
                               documents.make_document(), 9)
    listener.receive_head(200, [])
    listener.receive_data(msgspec.json.encode(item))
    listener.receive_end()
    assert here.follower.taken == [item]


def test_configuration_that_the_store_delivers_first_is_not_asked_for():
    here, there = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(here)
    _join(there, "vm-1", b"192.0.2.1:8229")
    there.link.start()
    here.receive(there.sent[-1][0])
    here.follower.revision = 9
    here.scheduler.advance(ms(200))
    assert not here.pool.asked


def test_peer_that_can_not_answer_is_asked_again_later():
    here, there = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(here)
    _join(there, "vm-1", b"192.0.2.1:8229")
    for _ in range(2):
        there.link.start()
        here.receive(there.sent[-1][0])
        here.scheduler.advance(ms(200))
        here.pool.asked[-1][2].receive_failure(False, "connection refused")
    assert len(here.pool.asked) == 2
    assert not here.follower.taken
