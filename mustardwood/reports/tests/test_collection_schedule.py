"""Tests of the collection schedule in simulated time."""

import datetime

import pytest

from mustardwood import messages
from mustardwood import reports

_START = datetime.datetime(2026, 3, 1, 12, 0, tzinfo=datetime.UTC)
_MINUTE = reports.compute_minute(_START)
_VMS = ("vm1", "vm2", "vm3", "vm4", "vm5")
_SECOND = datetime.timedelta(seconds=1)


def _make_members(dead=()):
    return tuple(
        messages.Member(
            vm, "127.0.0.1", "z", "r", messages.MemberState.DEAD if vm in
            dead else messages.MemberState.ALIVE) for vm in _VMS)


class ScheduleHarness:
    """Runs the schedules of all VMs with one store.

    Attributes:
        now: Current wall-clock time.
        store_down: Whether all calls to the store fail.
        unresponsive: VMs that are listed as alive but do not collect.
        dead: VMs that are listed as dead.
        stored: Time of the write by record number.
        writes: Record number and writer of each write.
        lookups: Number of attempts to collect a record.
        schedules: Schedules by VM.
    """

    def __init__(self, rule):
        self.now = _START
        self.store_down = False
        self.unresponsive = set()
        self.dead = set()
        self.stored = {}
        self.writes = []
        self.lookups = 0
        self.schedules = {
            vm: reports.CollectionSchedule(vm, rule, _START) for vm in _VMS
        }

    def run(self, seconds):
        """Advances the time; VMs write the records that are due and absent."""
        for _ in range(seconds):
            self.now += _SECOND
            for vm, schedule in self.schedules.items():
                if vm not in self.unresponsive | self.dead:
                    self._collect_due(vm, schedule)

    def _collect_due(self, vm, schedule):
        for number in schedule.list_due(_make_members(self.dead), self.now):
            self.lookups += 1
            if self.store_down:
                schedule.postpone(number, self.now)
                continue
            if number not in self.stored:
                self.stored[number] = self.now
                self.writes.append((number, vm))
            schedule.mark_stored(number)


@pytest.fixture(name="harness")
def make_harness():
    return ScheduleHarness(reports.make_minute_rule(60.0))


def test_each_minute_is_written_once_within_10_s(harness):
    harness.run(600)
    numbers = [number for number, _ in harness.writes]
    assert numbers == list(range(_MINUTE - 1, _MINUTE + 9))
    assert harness.lookups <= 3 * len(numbers)
    for number, at in harness.stored.items():
        ended_at = _START + (number + 1 - _MINUTE) * 60 * _SECOND
        assert at - ended_at <= 10 * _SECOND


def test_next_vm_writes_when_the_first_is_unresponsive(harness):
    harness.unresponsive = set(_VMS) - {"vm1", "vm2"}
    harness.run(3600)
    order = reports.rank_collectors
    for number in range(_MINUTE, _MINUTE + 58):
        responsive = [
            vm for vm in order(f"burn/{number}", _VMS)[:3]
            if vm not in harness.unresponsive
        ]
        assert (number in harness.stored) == bool(responsive)
        if responsive:
            assert (number, responsive[0]) in harness.writes


def test_dead_vms_are_not_ranked(harness):
    harness.dead = set(_VMS) - {"vm1"}
    harness.run(600)
    assert {vm for _, vm in harness.writes} == {"vm1"}
    assert len(harness.writes) == 10


def test_minutes_of_an_outage_are_written_after_it(harness):
    harness.store_down = True
    harness.run(30 * 60)
    assert not harness.writes
    harness.store_down = False
    harness.run(120)
    assert set(range(_MINUTE, _MINUTE + 31)) <= harness.stored.keys()


def test_collection_of_old_minutes_is_abandoned(harness):
    harness.store_down = True
    harness.run(3 * 3600)
    harness.store_down = False
    harness.run(60)
    assert min(harness.stored) >= _MINUTE + 181 - 51


def test_hours_are_written_after_their_minutes():
    harness = ScheduleHarness(reports.make_hour_rule(60.0))
    harness.run(2 * 3600 + 300)
    hour = _MINUTE // 60
    assert [number for number, _ in harness.writes
           ] == [hour - 1, hour, hour + 1]
    assert harness.stored[hour] - _START >= 3600 * _SECOND + 25 * _SECOND
