"""Tests of who collects when, in virtual time."""

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


class World:
    """Runs the schedules of all VMs against one store."""

    def __init__(self, rule):
        self.now = _START
        self.down = False
        self.silent = set()
        self.dead = set()
        self.stored = {}
        self.writes = []
        self.checks = 0
        self.schedules = {
            vm: reports.CollectionSchedule(vm, rule, _START) for vm in _VMS
        }

    def run(self, seconds):
        """Lets time pass; due VMs look into the store and write."""
        for _ in range(seconds):
            self.now += _SECOND
            for vm, schedule in self.schedules.items():
                if vm not in self.silent | self.dead:
                    self._collect(vm, schedule)

    def _collect(self, vm, schedule):
        for number in schedule.list_due(_make_members(self.dead), self.now):
            self.checks += 1
            if self.down:
                schedule.postpone(number, self.now)
                continue
            if number not in self.stored:
                self.stored[number] = self.now
                self.writes.append((number, vm))
            schedule.mark_stored(number)


@pytest.fixture(name="world")
def make_world():
    return World(reports.make_minute_rule(60.0))


def test_each_minute_is_written_once_and_soon(world):
    world.run(600)
    numbers = [number for number, _ in world.writes]
    assert numbers == list(range(_MINUTE - 1, _MINUTE + 9))
    assert world.checks <= 3 * len(numbers)
    for number, at in world.stored.items():
        closed = _START + (number + 1 - _MINUTE) * 60 * _SECOND
        assert at - closed <= 10 * _SECOND


def test_next_vm_writes_when_the_first_is_silent(world):
    world.silent = set(_VMS) - {"vm1", "vm2"}
    world.run(3600)
    order = reports.rank_collectors
    for number in range(_MINUTE, _MINUTE + 58):
        able = [
            vm for vm in order(f"burn/{number}", _VMS)[:3]
            if vm not in world.silent
        ]
        assert (number in world.stored) == bool(able)
        if able:
            assert (number, able[0]) in world.writes


def test_dead_vms_have_no_turn(world):
    world.dead = set(_VMS) - {"vm1"}
    world.run(600)
    assert {vm for _, vm in world.writes} == {"vm1"}
    assert len(world.writes) == 10


def test_minutes_of_an_outage_are_written_after_it(world):
    world.down = True
    world.run(30 * 60)
    assert not world.writes
    world.down = False
    world.run(120)
    assert set(range(_MINUTE, _MINUTE + 31)) <= world.stored.keys()


def test_old_minutes_are_given_up(world):
    world.down = True
    world.run(3 * 3600)
    world.down = False
    world.run(60)
    assert min(world.stored) >= _MINUTE + 181 - 51


def test_hours_are_written_after_their_minutes():
    world = World(reports.make_hour_rule(60.0))
    world.run(2 * 3600 + 300)
    hour = _MINUTE // 60
    assert [number for number, _ in world.writes] == [hour - 1, hour, hour + 1]
    assert world.stored[hour] - _START >= 3600 * _SECOND + 25 * _SECOND
