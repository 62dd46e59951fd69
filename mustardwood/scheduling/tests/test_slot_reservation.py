"""Tests of the slots that long requests leave free for urgent classes."""

import collections
import datetime

import pytest

from mustardwood import configuration
from mustardwood.scheduling import slot_reservation

_URGENT = configuration.RequestClass("urgent", 0, 0.66)
_LONG = configuration.RequestClass("long", 3, 5.0)
_QUICK = configuration.RequestClass("quick", 5, 2.0)
_CLASSES = (_URGENT, _LONG, _QUICK)


def _make_reservation(arrivals: int) -> slot_reservation.SlotReservation:
    """Records urgent arrivals each 0.1 s, with a service time of 5 s."""
    reservation = slot_reservation.SlotReservation()
    for index in range(arrivals):
        reservation.record_arrival("urgent",
                                   datetime.timedelta(seconds=index / 10))
    reservation.record_service_time("urgent", 5.0)
    reservation.record_service_time("long", 40.0)
    reservation.record_service_time("quick", 0.5)
    return reservation


def _may_take_slot(reservation, candidate, running, free, at=20.0):
    return reservation.may_take_slot(candidate, _CLASSES,
                                     collections.Counter(running), free, 100,
                                     datetime.timedelta(seconds=at))


def test_long_requests_leave_the_slots_that_urgent_ones_need():
    reservation = _make_reservation(200)
    assert not _may_take_slot(reservation, _LONG, {}, free=40)
    assert _may_take_slot(reservation, _LONG, {"urgent": 64}, free=1)


def test_quick_request_takes_any_free_slot():
    assert _may_take_slot(_make_reservation(200), _QUICK, {}, free=1)


def test_slots_of_quick_requests_count_as_nearly_free():
    reservation = _make_reservation(200)
    running = {"quick": 90}
    assert _may_take_slot(reservation, _LONG, running, free=1)


@pytest.mark.parametrize("at, expected", [(20.0, False), (120.0, True)])
def test_reservation_ends_with_the_demand(at, expected):
    assert _may_take_slot(_make_reservation(200), _LONG, {}, 40, at) is expected


def test_service_time_of_zero_is_accepted():
    reservation = _make_reservation(200)
    for _ in range(500):
        reservation.record_service_time("quick", 0.0)
    assert _may_take_slot(reservation, _LONG, {"quick": 90}, free=1)
