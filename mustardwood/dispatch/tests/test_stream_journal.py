"""Tests of the journal of streams."""

import random

import msgspec
import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch import stream_version_table
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_LIMIT = ms(12_000)
"""Time limit of the route of the streams."""


class _Store:
    """A store that all VMs share, whose changes reach them by `deliver`.

    Attributes:
        is_away: Whether writes fail.
        writes: Number of writes.
        refused: Names of VMs whose writes of the history fail.
        history_writers: Names of those whose writes have succeeded.
    """

    def __init__(self):
        self.history = None
        self.streams = {}
        self.is_away = False
        self.writes = 0
        self.refused = set()
        self.history_writers = set()
        self.vms = []
        self._changes = []

    def deliver(self):
        """Shows all VMs what has changed."""
        changes, self._changes = self._changes, []
        for vm in self.vms:
            for name, value in changes:
                vm.show(name, value)

    def show_all(self, vm):
        """Shows a VM that has started everything."""
        if self.history is not None:
            vm.show(None, self.history)
        for name, value in self.streams.items():
            vm.show(name, value)

    def write_history(self, vm, value):
        """Returns whether it was written; the condition is not modelled."""
        self.writes += 1
        if self.is_away or vm in self.refused:
            return False
        self.history = value
        self.history_writers.add(vm)
        self._changes.append((None, value))
        return True

    def write_streams(self, name, value, on_end):
        """Writes the streams of a VM."""
        self.writes += 1
        if not self.is_away:
            self.streams[name] = value
            self._changes.append((name, value))
        on_end(not self.is_away)


class _StoreOfVm:

    def __init__(self, store, vm):
        self._store = store
        self._vm = vm
        self.journal = None

    def write_history(self, value, on_end):
        """Shows the VM a successful write at once."""
        if self._store.write_history(self._vm, value):
            self.journal.record_history(value)
        on_end()

    def write_streams(self, value, on_end):
        """See `dispatch.JournalStore`."""
        self._store.write_streams(self._vm, value, on_end)


class _Vm:
    """A VM with its table of streams, directory and journal."""

    def __init__(self, fleet, name, is_first_start):
        clock = fleet.clock
        self.name = name
        self.streams = dispatch.StreamVersionTable(clock)
        self.directory = dispatch.EndpointDirectory(
            clock, dispatch.EndpointNotices(name, clock))
        store = _StoreOfVm(fleet.store, name)
        self.journal = store.journal = dispatch.StreamJournal(
            name, clock, fleet.scheduler, self.streams,
            self.directory, lambda: fleet.names, store,
            harness_module.FakeJournal(), is_first_start)
        self.journal.start()

    def show(self, name, value):
        """Shows the streams of a VM, or the history if the name is None."""
        if name is None:
            self.journal.record_history(value)
        else:
            self.journal.record_streams(value, name == self.name)


class _Fleet:
    """VMs, their store and the endpoints' registrations, in virtual time."""

    def __init__(self, count=3, versions=("v1",)):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.store = _Store()
        self.names = [f"vm-{index}" for index in range(count)]
        self.versions = list(versions)
        self.start_all(is_first_start=True)

    def start_all(self, is_first_start=False):
        """Starts all VMs anew; what they knew before is lost."""
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.store.vms = [
            _Vm(self, name, is_first_start) for name in self.names
        ]
        for vm in self.store.vms:
            self.store.show_all(vm)
        self._list_endpoints()

    def restart(self, index):
        """Starts one VM anew."""
        self.store.vms[index] = _Vm(self, self.names[index], False)
        self.store.show_all(self.store.vms[index])
        self._list_endpoints()

    def _list_endpoints(self):
        for vm in self.store.vms:
            present = {f"endpoint-{each}" for each in self.versions}
            for version in self.versions:
                vm.directory.set_endpoint(
                    harness_module.make_endpoint(0,
                                                 name=f"endpoint-{version}",
                                                 version=version))
            vm.directory.keep_only(present)
            vm.directory.record_listing(self.clock.monotonic())

    def set_versions(self, *versions):
        """Changes the versions of the registered endpoints."""
        self.versions = list(versions)
        self._list_endpoints()

    def run(self, seconds):
        """Lets the VMs write, and shows them what the store has."""
        for _ in range(round(seconds * 10)):
            self._list_endpoints()
            self.scheduler.advance(ms(100))
            self.store.deliver()

    def begin_stream(self, number, version, vm=0):
        """Begins a stream at a VM, which tells all others."""
        key = stream_version_table.find_key("engine", f"stream-{number}")
        for index, each in enumerate(self.store.vms):
            if index == vm:
                each.streams.record_service("engine", _LIMIT)
                each.streams.record(key, version)
                each.journal.handle_new_stream()
            else:
                each.streams.record_service("engine", _LIMIT)
                each.streams.record_peer_streams({version: key})

    def find(self, number, vm=0):
        """Returns the version of a stream as a VM knows it."""
        key = stream_version_table.find_key("engine", f"stream-{number}")
        return self.store.vms[vm].streams.find(key)

    def find_only_version(self, vm=0):
        """Returns the only version that a VM knows."""
        return self.store.vms[vm].journal.find_only_version("engine", _LIMIT)


def test_one_version_needs_no_writes_but_its_history():
    fleet = _Fleet()
    fleet.run(2)
    for number in range(50):
        fleet.begin_stream(number, "v1")
        fleet.run(0.1)
    assert fleet.store.writes == 1
    assert not fleet.store.streams
    fleet.start_all()
    assert fleet.find_only_version() == "v1"


@pytest.mark.parametrize("vms", [1, 9, 60, 195])
def test_streams_of_two_versions_outlast_all_vms(vms):
    fleet = _Fleet(vms, ("v1", "v2"))
    fleet.run(2)
    writes = fleet.store.writes
    for number in range(20):
        fleet.begin_stream(number, f"v{1 + number % 2}", number % vms)
    # All are saved at once, by one write each.
    assert fleet.store.writes - writes == 20
    fleet.start_all()
    assert fleet.find_only_version() is None
    for number in range(20):
        assert fleet.find(number, vms - 1) == f"v{1 + number % 2}"


def test_streams_begun_before_the_second_version_are_saved_too():
    fleet = _Fleet()
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    fleet.run(2)
    fleet.set_versions("v1", "v2")
    fleet.run(2)
    fleet.start_all()
    assert fleet.find(1) == "v1"


def test_other_vm_saves_the_history_if_the_first_one_does_not():
    fleet = _Fleet(3)
    fleet.run(2)
    fleet.store.refused.update(fleet.store.history_writers)
    fleet.set_versions("v1", "v2")
    fleet.run(4)
    assert len(fleet.store.history_writers) > 1
    assert fleet.store.vms[2].journal.is_recorded("engine", "v2")


def test_vm_that_restarts_alone_keeps_the_streams_from_before():
    fleet = _Fleet(3, ("v1", "v2"))
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    fleet.restart(0)
    fleet.begin_stream(2, "v2")
    fleet.start_all()
    assert (fleet.find(1), fleet.find(2)) == ("v1", "v2")


def test_streams_are_saved_once_the_store_is_back():
    fleet = _Fleet(3, ("v1", "v2"))
    fleet.run(2)
    fleet.store.is_away = True
    fleet.begin_stream(1, "v1")
    fleet.run(5)
    fleet.store.is_away = False
    fleet.begin_stream(2, "v2")
    fleet.run(3)
    fleet.start_all()
    assert (fleet.find(1), fleet.find(2)) == ("v1", "v2")


def test_streams_are_saved_again_after_a_restore_of_the_store():
    fleet = _Fleet(3, ("v1", "v2"))
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    fleet.run(2)
    fleet.store.streams.clear()
    for vm in fleet.store.vms:
        vm.journal.handle_restore()
    fleet.run(8)
    fleet.start_all()
    assert fleet.find(1) == "v1"


def test_stream_of_two_versions_stays_unknown_after_the_loss_of_all_vms():
    fleet = _Fleet(3, ("v1", "v2"))
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    fleet.begin_stream(1, "v2", 1)
    fleet.run(3)
    fleet.start_all()
    assert fleet.find(1) is None


@pytest.mark.parametrize("value", [b"", b"\xff", b"\x01", b"text"])
def test_malformed_parts_are_ignored(value):
    fleet = _Fleet(1)
    fleet.run(1)
    journal = fleet.store.vms[0].journal
    journal.record_history(value)
    journal.record_streams(value, True)
    assert fleet.find_only_version() == "v1"


@pytest.mark.parametrize("seed", range(20))
def test_no_stream_is_taken_for_one_of_another_version(seed):
    """Versions change, all VMs die, and streams begin at usable versions."""
    rng = random.Random(seed)
    fleet = _Fleet(3)
    fleet.run(1)
    begun = {}
    known = 0
    for step in range(60):
        fate = rng.random()
        if fate < 0.15:
            fleet.set_versions(*rng.choice((["v1"], ["v2"], ["v1", "v2"])))
        elif fate < 0.25:
            fleet.start_all()
        vm = fleet.store.vms[rng.randrange(3)]
        usable = fleet.versions
        recorded = [
            each for each in usable if vm.journal.is_recorded("engine", each)
        ]
        begun[step] = rng.choice(recorded or usable), fleet.clock.monotonic()
        fleet.begin_stream(step, begun[step][0], fleet.store.vms.index(vm))
        fleet.run(rng.choice((0.1, 0.4, 1.0, 3.0)))
        now = fleet.clock.monotonic()
        for number, (version, began_at) in begun.items():
            if now - began_at <= _LIMIT:
                found = fleet.find(number) or fleet.find_only_version()
                assert found in (None, version)
                known += found is not None
    assert known > 100


def test_new_stream_begins_at_a_version_that_was_saved():
    harness = harness_module.Harness(endpoints=2)
    harness.journal_of_streams.record_history(
        msgspec.msgpack.encode(dispatch.VersionHistory().update(
            {"engine": {"v1"}}, harness.clock.now(), harness.clock.now())))
    for index in (2, 3, 4):
        harness.directory.set_endpoint(
            harness_module.make_endpoint(index, version="v2"))
    for _ in range(20):
        harness.start(harness_module.make_stream_request(harness))
    assert {each.endpoint.version for each in harness.client.sent} == {"v1"}
    # Other requests may use them at once.
    for _ in range(20):
        harness.start()
    assert {each.endpoint.version for each in harness.client.sent
           } == {"v1", "v2"}


def test_new_stream_begins_anywhere_if_no_version_was_saved():
    harness = harness_module.Harness(endpoints=2)
    harness.start(harness_module.make_stream_request(harness))
    assert len(harness.client.sent) == 1


def test_streams_that_began_before_a_move_of_their_route_outlast_all_vms():
    """One version has served, but not at the service of the route now."""
    fleet = _Fleet()
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    for vm in fleet.store.vms:
        vm.journal.handle_route_move()
    fleet.begin_stream(2, "v1")
    fleet.run(1)
    assert set(fleet.store.streams) == {"vm-0"}
    assert fleet.store.writes == 2
    fleet.start_all()
    assert fleet.find(1) == "v1"


def test_streams_before_a_move_are_saved_when_the_store_is_back():
    fleet = _Fleet()
    fleet.run(2)
    fleet.begin_stream(1, "v1")
    fleet.store.is_away = True
    fleet.store.vms[0].journal.handle_route_move()
    fleet.run(1)
    fleet.store.is_away = False
    fleet.run(2)
    fleet.start_all()
    assert fleet.find(1) == "v1"
