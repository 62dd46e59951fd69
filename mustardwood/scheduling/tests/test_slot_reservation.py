"""Tests of the slots that long work leaves to more urgent tiers."""

import collections
import datetime

import pytest

from mustardwood import configuration
from mustardwood.scheduling import slot_reservation

_URGENT = configuration.RequestClass("urgent", 0, 0.66)
_LONG = configuration.RequestClass("long", 3, 5.0)
_QUICK = configuration.RequestClass("quick", 5, 2.0)
_CLASSES = (_URGENT, _LONG, _QUICK)


def _make_reserve(arrivals: int) -> slot_reservation.SlotReservation:
    """One urgent arrival each 0.1 s, each served in 5 s."""
    reserve = slot_reservation.SlotReservation()
    for index in range(arrivals):
        reserve.record_arrival("urgent", datetime.timedelta(seconds=index / 10))
    reserve.record_service("urgent", 5.0)
    reserve.record_service("long", 40.0)
    reserve.record_service("quick", 0.5)
    return reserve


def _may_start(reserve, own, running, free, at=20.0):
    return reserve.may_start(own, _CLASSES, collections.Counter(running), free,
                             100, datetime.timedelta(seconds=at))


def test_long_work_leaves_what_urgent_arrivals_need():
    reserve = _make_reserve(200)
    assert not _may_start(reserve, _LONG, {}, free=40)
    assert _may_start(reserve, _LONG, {"urgent": 64}, free=1)


def test_quick_work_takes_any_free_slot():
    assert _may_start(_make_reserve(200), _QUICK, {}, free=1)


def test_slots_of_quick_work_count_as_nearly_free():
    reserve = _make_reserve(200)
    held = {"quick": 90}
    assert _may_start(reserve, _LONG, held, free=1)


@pytest.mark.parametrize("at, expected", [(20.0, False), (120.0, True)])
def test_reserve_ends_with_the_demand(at, expected):
    assert _may_start(_make_reserve(200), _LONG, {}, 40, at) is expected


def test_service_time_of_zero_is_harmless():
    reserve = _make_reserve(200)
    for _ in range(500):
        reserve.record_service("quick", 0.0)
    assert _may_start(reserve, _LONG, {"quick": 90}, free=1)
