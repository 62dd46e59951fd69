"""Tests of peers that join, time out or use a newer configuration."""

import random

import msgspec
import pytest

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import peers
from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import peer_synchronizer
from mustardwood.platform import store_watcher
from mustardwood.platform.tests import documents

ms = harness_module.ms


class _FakeWatcher:
    """A watcher with a configuration at a given position."""

    def __init__(self, position):
        self.configuration_position = position
        self.is_connected = False
        self.is_receiving = False
        self.applied = []
        self.eras = []
        self.position = (position.era, position.revision)
        self.peer_positions = []

    def check_era(self, era):
        """Records the era that a peer knows."""
        self.eras.append(era)

    def record_peer_position(self, position):
        """Records the position that a peer knows."""
        self.peer_positions.append(position)

    def apply_peer_configuration(self, item):
        """Records the configuration read from a peer."""
        self.applied.append(item)
        self.configuration_position = peers.ConfigurationPosition(
            7, item.era, item.revision)


class _Pool:
    """Records the requests to peers."""

    def __init__(self):
        self.pool_requests = []

    def send(self, address, request, listener, max_body_bytes):
        """Records a request."""
        del max_body_bytes
        self.pool_requests.append((address, request, listener))
        return http1.Exchange(request, listener)


class _Vm:

    def __init__(self, name, revision=5, clock=None, version=7, era=0):
        self.clock = clock or timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.loads = dispatch.LoadTable(self.clock)
        self.prefix_caches = dispatch.PrefixCacheIndex(self.clock)
        self.streams = dispatch.StreamVersionTable(self.clock)
        self.proof = dispatch.FreshnessProof(self.clock, ms(5000), ms(500))
        self.watcher = _FakeWatcher(
            peers.ConfigurationPosition(version, era, revision))
        self.pool = _Pool()
        self.journal = harness_module.FakeJournal()
        self.sent = []
        self.synchronizer = peer_synchronizer.PeerSynchronizer(
            peers.PeerProtocol(
                name, self.clock, self.loads, self.prefix_caches,
                dispatch.CrashRecord(self.clock),
                dispatch.PromptPartCrashes(self.clock, random.Random(name)),
                self.proof, random.Random(name), self.streams,
                dispatch.EndpointRateLimits(name, self.clock, lambda: ()),
                dispatch.EndpointNotices(name, self.clock),
                dispatch.TierAdmission(
                    self.clock, self.loads,
                    dispatch.EndpointRateLimits(name, self.clock, lambda: ()),
                    dispatch.PlacementSettings()),
                profiles.EngineProfiles(self.clock)), self.loads, self.clock,
            self.scheduler, self.pool, self.watcher, self.journal, name,
            random.Random(name))
        self.synchronizer.port.send = lambda data, address: self.sent.append(
            (data, address))

    def receive(self, data):
        """Delivers a datagram."""
        self.synchronizer.port.datagramReceived(data, ("192.0.2.9", 1))


def _join(vm, name="vm-2", address=b"192.0.2.2:8229"):
    vm.synchronizer.set_vm(name, address)


def test_updates_go_on_after_a_value_that_messages_cannot_hold():
    """Peers lost sight of the VM until its next start."""
    vm = _Vm("vm-1")
    _join(vm)
    vm.synchronizer.start()
    huge = dispatch.EndpointLoad(prefill_tokens=2**70)
    vm.loads.add("engine-1", huge)
    vm.scheduler.advance(ms(2500))
    errors = [event for event, _ in vm.journal.lines if event == "error"]
    assert 1 <= len(errors) <= 4
    vm.loads.subtract("engine-1", huge)
    vm.sent.clear()
    vm.scheduler.advance(ms(2000))
    assert vm.sent


def test_changed_load_is_sent_soon_and_unchanged_load_rarely():
    vm = _Vm("vm-1")
    _join(vm)
    vm.synchronizer.start()
    vm.sent.clear()
    vm.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
    vm.scheduler.advance(ms(25))
    assert len(vm.sent) == 1
    vm.sent.clear()
    vm.scheduler.advance(ms(1000))
    assert 3 <= len(vm.sent) <= 6


def test_new_stream_is_sent_soon_although_the_load_is_unchanged():
    vm = _Vm("vm-1")
    _join(vm)
    vm.synchronizer.start()
    vm.sent.clear()
    vm.streams.record(b"a stream", "v1")
    vm.scheduler.advance(ms(25))
    assert len(vm.sent) == 1


def test_restarted_vm_learns_within_40_ms_which_version_began_a_stream():
    clock = timing.ManualClock()
    local, remote = _Vm("vm-1", clock=clock), _Vm("vm-2", clock=clock)
    remote.streams.record_peer_streams({"v1": b"a stream"})
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    local.synchronizer.start()
    local.streams.ask_peers(b"a stream")
    local.scheduler.advance(ms(40))
    for data, _ in local.sent:
        remote.receive(data)
    for data, address in remote.sent:
        assert address == ("192.0.2.1", 8229)
        local.receive(data)
    assert local.streams.find(b"a stream") == "v1"


def test_only_a_few_peers_of_a_large_deployment_are_asked_about_a_stream():
    vm = _Vm("vm-1")
    for number in range(77):
        _join(vm, f"peer-{number}", b"192.0.2.%d:8229" % (number + 10))
    vm.synchronizer.start()
    vm.sent.clear()
    vm.streams.ask_peers(b"a stream")
    vm.scheduler.advance(ms(30))
    assert len(vm.sent) == 8


def test_idle_vm_of_a_large_deployment_keeps_its_reports_valid():
    """Reports of idle VMs must be repeated before they expire.

    With 60 VMs, ten send intervals last longer than a report is valid, so a
    repeat after ten intervals would be too late.
    """
    vm = _Vm("vm-1")
    for number in range(59):
        _join(vm, f"peer-{number}", b"192.0.2.%d:8229" % (number + 10))
    vm.synchronizer.start()
    vm.sent.clear()
    lifetime = dispatch.PEER_REPORT_LIFETIME
    vm.scheduler.advance(10 * lifetime)
    assert len(vm.sent) >= 2 * 10 * 59


def test_own_registration_adds_no_peer():
    vm = _Vm("vm-1")
    _join(vm, "vm-1")
    assert vm.synchronizer.peer_count == 0


def test_malformed_registration_adds_no_peer():
    vm = _Vm("vm-1")
    _join(vm, "vm-2", b"\xff")
    assert vm.synchronizer.peer_count == 0
    assert vm.journal.lines[-1][0] == "peer_rejected"


def test_format_of_a_peer_of_another_build_is_logged_once():
    local, remote = _Vm("vm-1"), _Vm("vm-2")
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    fields = msgspec.msgpack.decode(remote.sent[-1][0])
    local.receive(msgspec.msgpack.encode(fields))
    assert not [each for each, _ in local.journal.lines if "format" in each]
    for sequence in (11, 12):
        # A build before the number was added.
        local.receive(
            msgspec.msgpack.encode([fields[0], sequence, *fields[2:9]]))
    assert [each for each in local.journal.lines if each[0] == "peer_format"
           ] == [("peer_format", {
               "peer": "vm-2",
               "format": 0,
               "own_format": peers.UPDATE_FORMAT
           })]


def test_unregistered_peer_is_kept_while_its_updates_arrive():
    clock = timing.ManualClock()
    local, remote = _Vm("vm-1", clock=clock), _Vm("vm-2")
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    local.synchronizer.start()
    local.synchronizer.set_vm("vm-2", None)
    for _ in range(20):
        remote.synchronizer.start()
        local.receive(remote.sent[-1][0])
        local.scheduler.advance(ms(1000))
    assert local.synchronizer.peer_count == 1
    local.scheduler.advance(ms(16_000))
    assert local.synchronizer.peer_count == 0


def test_newer_configuration_is_read_from_the_peer_that_uses_it():
    local, remote = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    local.receive(remote.sent[-1][0])
    local.scheduler.advance(ms(200))
    address, request, listener = local.pool.pool_requests[0]
    assert address == ("192.0.2.2", 8229)
    assert request.target == peer_synchronizer.CONFIGURATION_PATH
    item = documents.make_item(store_watcher.CONFIGURATION_KEY,
                               documents.make_document(), 9)
    listener.receive_head(200, [])
    listener.receive_data(msgspec.json.encode(item))
    listener.receive_end()
    assert local.watcher.applied == [item]


def test_configuration_that_the_store_delivers_first_is_not_read_from_a_peer():
    local, remote = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    local.receive(remote.sent[-1][0])
    local.watcher.configuration_position = peers.ConfigurationPosition(7, 0, 9)
    local.scheduler.advance(ms(200))
    assert not local.pool.pool_requests


def test_configuration_that_the_store_delivers_is_not_read_from_a_peer():
    # All VMs read it from the first one that had it, whose link was too slow.
    local, remote = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    local.watcher.is_connected = local.watcher.is_receiving = True
    local.receive(remote.sent[-1][0])
    local.scheduler.advance(ms(5000))
    assert not local.pool.pool_requests
    local.watcher.is_receiving = False
    local.scheduler.advance(ms(200))
    assert len(local.pool.pool_requests) == 1


def test_store_that_can_be_reached_has_time_to_begin_its_delivery():
    local, remote = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    local.watcher.is_connected = True
    local.receive(remote.sent[-1][0])
    local.scheduler.advance(ms(900))
    assert not local.pool.pool_requests
    local.scheduler.advance(ms(200))
    assert len(local.pool.pool_requests) == 1


def test_vms_read_from_different_ones_of_the_peers_that_are_newer():
    remotes = [_Vm(f"vm-{number}", revision=9) for number in range(2, 10)]
    asked = set()
    for number in range(10, 20):
        local = _Vm(f"vm-{number}", revision=5)
        for index, remote in enumerate(remotes):
            _join(local, f"vm-{index + 2}", b"192.0.2.%d:8229" % (index + 2))
            _join(remote, f"vm-{number}", b"192.0.2.%d:8229" % number)
            remote.synchronizer.start()
            local.receive(remote.sent[-1][0])
        local.scheduler.advance(ms(200))
        asked.add(local.pool.pool_requests[0][0])
    assert len(asked) > 3


def test_failed_read_from_a_peer_is_repeated_at_its_next_update():
    local, remote = _Vm("vm-1", revision=5), _Vm("vm-2", revision=9)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    for _ in range(2):
        remote.synchronizer.start()
        local.receive(remote.sent[-1][0])
        local.scheduler.advance(ms(200))
        local.pool.pool_requests[-1][2].receive_failure(False,
                                                        "connection refused")
    assert len(local.pool.pool_requests) == 2
    assert not local.watcher.applied


def test_higher_version_is_read_from_a_peer_of_an_earlier_era():
    """A VM that starts after a restore knows only the copy's version."""
    local = _Vm("vm-1", version=6, era=2, revision=3)
    remote = _Vm("vm-2", version=7, era=1, revision=90)
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    remote.synchronizer.start()
    local.receive(remote.sent[-1][0])
    local.scheduler.advance(ms(200))
    assert len(local.pool.pool_requests) == 1
    local.synchronizer.start()
    remote.receive(local.sent[-1][0])
    assert remote.watcher.eras == [2]
    remote.scheduler.advance(ms(200))
    assert not remote.pool.pool_requests


def test_peers_missing_in_a_copy_are_kept_while_their_updates_arrive():
    clock = timing.ManualClock()
    local, remote = _Vm("vm-1", clock=clock), _Vm("vm-2")
    _join(local)
    _join(remote, "vm-1", b"192.0.2.1:8229")
    local.synchronizer.start()
    local.synchronizer.set_vm("vm-2", None)
    for _ in range(10):
        remote.synchronizer.start()
        local.receive(remote.sent[-1][0])
        local.scheduler.advance(ms(2000))
    _join(local)
    local.scheduler.advance(ms(20_000))
    assert local.synchronizer.peer_count == 1


@pytest.mark.parametrize("peer_count", [59, 194])
def test_datagrams_of_a_busy_vm_do_not_grow_with_the_number_of_vms(peer_count):
    vm = _Vm("vm-1")
    for number in range(peer_count):
        _join(vm, f"peer-{number}", b"192.0.2.%d:%d" % (number + 10, 8229))
    vm.synchronizer.start()
    vm.sent.clear()
    longest, last = ms(0), vm.clock.monotonic()
    for _ in range(1000):
        count = len(vm.sent)
        vm.loads.add("engine-1", dispatch.EndpointLoad(requests=1))
        vm.scheduler.advance(ms(10))
        if len(vm.sent) > count:
            longest = max(longest, vm.clock.monotonic() - last)
            last = vm.clock.monotonic()
    assert len(vm.sent) <= 10 * 230
    # A receiver that knows as many peers keeps a report until the next but one.
    vm.loads.set_peer_loads("peer-1", {})
    vm.scheduler.advance(2 * longest)
    assert vm.loads.count_peers() == 1
