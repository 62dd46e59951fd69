"""Tests of the reads that renew the freshness proof."""

import collections
import random

import pytest
from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import freshness_reader
from mustardwood.platform import store_client
from mustardwood.platform.tests import documents

ms = harness_module.ms
_POSITION = store_client.Position(0, 9)


class _Client:

    def __init__(self):
        self.reads = []
        self.watches = []

    async def read_key(self, key):
        """Records the read; the test completes it."""
        assert key == "op/config"
        self.reads.append(defer.Deferred())
        return await self.reads[-1]

    async def watch(self, prefix, after, wait, max_bytes):
        """Records the watch; the test completes it."""
        assert prefix == "op/config"
        assert wait == ms(1)
        assert max_bytes == 1000
        self.watches.append((after, defer.Deferred()))
        return await self.watches[-1][1]


class _FakeWatcher:

    def __init__(self, proof):
        self.is_connected = True
        self.applied = []
        self.shows_newest = True
        self.position = store_client.Position()
        self.max_history_bytes = 1000
        self._proof = proof

    def record_proof(self, requested_at, era):
        """Records a proof."""
        assert era == _POSITION.era
        self._proof.record(requested_at)

    def apply_configuration(self, item):
        """Records the configuration that was read."""
        self.applied.append(item)


class _Vm:

    def __init__(self,
                 seed=1,
                 peers=0,
                 clock=None,
                 scheduler=None,
                 has_proof=True):
        self.clock = clock or timing.ManualClock()
        self.scheduler = scheduler or harness_module.FakeScheduler(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock, ms(5000), ms(500))
        if has_proof:
            self.proof.record(self.clock.monotonic())
        self.client = _Client()
        self.watcher = _FakeWatcher(self.proof)
        self.journal = harness_module.FakeJournal()
        self.reader = freshness_reader.FreshnessReader(self.client, self.clock,
                                                       self.scheduler,
                                                       self.proof, self.watcher,
                                                       lambda: peers,
                                                       self.journal,
                                                       random.Random(seed))
        self.reader.start()


def _item():
    return documents.make_item("op/config", documents.make_document(), 5)


def test_read_renews_the_proof_as_of_the_time_of_its_request():
    vm = _Vm()
    vm.scheduler.advance(ms(700))
    vm.client.reads[0].callback((_item(), _POSITION))
    assert vm.watcher.applied == [_item()]
    assert vm.proof.get_age() == ms(100)


def test_current_proof_of_a_peer_makes_the_read_unnecessary():
    vm = _Vm()
    for _ in range(20):
        vm.scheduler.advance(ms(100))
        vm.proof.record(vm.clock.monotonic() - ms(300))
    assert not vm.client.reads


def test_reads_do_not_overlap_and_stop_while_the_store_is_unavailable():
    vm = _Vm()
    vm.scheduler.advance(ms(3000))
    assert len(vm.client.reads) == 1
    vm.watcher.is_connected = False
    vm.client.reads[0].errback(errors.UnavailableError("Lost.", "Wait."))
    vm.scheduler.advance(ms(3000))
    assert len(vm.client.reads) == 1
    assert vm.journal.lines[0][0] == "proof_failed"
    assert vm.proof.get_age() == ms(6000)


def test_number_of_reads_does_not_grow_with_the_number_of_vms():
    """All VMs learn of a new proof within 0.2 s, so few of them read."""
    reads = {}
    for count in (9, 60):
        clock = timing.ManualClock()
        scheduler = harness_module.FakeScheduler(clock)
        vms = [_Vm(seed, count - 1, clock, scheduler) for seed in range(count)]
        read_count = 0
        for _ in range(600):
            scheduler.advance(ms(100))
            proofs = []
            for vm in vms:
                while vm.client.reads:
                    vm.client.reads.pop().callback((_item(), _POSITION))
                    read_count += 1
                proofs.append(clock.monotonic() - vm.proof.get_age())
            for vm in vms:
                vm.proof.record(max(proofs))
            assert clock.monotonic() - max(proofs) < ms(3000)
        reads[count] = read_count
    assert reads[60] < 4 * reads[9]
    assert reads[9] < 2 * 60


@pytest.mark.parametrize("count", [9, 60, 195, 400])
def test_slow_news_of_proofs_do_not_multiply_the_reads(count):
    """In large fleets a VM learns of another one's read after 0.6 s."""
    clock = timing.ManualClock()
    scheduler = harness_module.FakeScheduler(clock)
    vms = [_Vm(seed, count - 1, clock, scheduler) for seed in range(count)]
    read_count = 0
    known = collections.deque([clock.monotonic()] * 6, maxlen=6)
    for _ in range(200):
        scheduler.advance(ms(100))
        for vm in vms:
            while vm.client.reads:
                vm.client.reads.pop().callback((_item(), _POSITION))
                read_count += 1
        for vm in vms:
            vm.proof.record(known[0])
        known.append(clock.monotonic() - min(vm.proof.get_age() for vm in vms))
        assert clock.monotonic() - known[0] < ms(3500)
    assert read_count < 20 * 10


def test_configuration_is_not_read_while_a_read_proves_nothing():
    """A restored store shows an older configuration for some seconds."""
    vm = _Vm(peers=8)
    vm.watcher.shows_newest = False
    vm.scheduler.advance(ms(5000))
    assert not vm.client.reads
    vm.watcher.shows_newest = True
    vm.scheduler.advance(ms(1500))
    assert len(vm.client.reads) == 1


def test_first_proof_is_read_once_a_read_proves_something():
    """A VM that has started in a restored store has no proof."""
    vm = _Vm(peers=8, has_proof=False)
    vm.watcher.shows_newest = False
    vm.scheduler.advance(ms(2000))
    assert not vm.client.reads
    vm.watcher.shows_newest = True
    vm.scheduler.advance(ms(200))
    assert len(vm.client.reads) == 1


def test_proof_needs_no_second_copy_of_a_large_configuration():
    # Each proof read 0.4 MB, a third of what a slow link carries.
    vm = _Vm()
    vm.watcher.position = _POSITION
    vm.scheduler.advance(ms(700))
    assert len(vm.client.watches) == 1
    after, waiting = vm.client.watches[0]
    assert after == _POSITION
    waiting.callback(([], _POSITION))
    assert vm.proof.get_age() == ms(100)
    assert not vm.client.reads


def test_change_that_the_proof_shows_is_applied_before_it_counts():
    vm = _Vm()
    vm.watcher.position = _POSITION
    vm.scheduler.advance(ms(700))
    vm.client.watches[0][1].callback(([_item()], _POSITION))
    assert vm.watcher.applied == [_item()]
    assert vm.proof.get_age() == ms(100)


def test_configuration_is_read_whole_if_its_changes_are_lost():
    vm = _Vm()
    vm.watcher.position = _POSITION
    vm.scheduler.advance(ms(700))
    vm.client.watches[0][1].errback(
        store_client.HistoryLostError("Lost.", "Read the keys again."))
    vm.client.reads[0].callback((_item(), _POSITION))
    assert vm.watcher.applied == [_item()]
    assert vm.proof.get_age() == ms(100)
