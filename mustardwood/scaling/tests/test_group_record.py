"""Tests of the comparison of orders with registrations."""

import datetime

from mustardwood.scaling import group_record

_BOOT_TIME = datetime.timedelta(seconds=4)


def _s(seconds):
    return datetime.timedelta(seconds=seconds)


def _update(record, time, ready, draining=0):
    return record.update(_s(time), ready, draining, _BOOT_TIME)


def test_ordered_endpoints_count_before_they_are_registered():
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    record.record_sent(_s(0), 9)
    _update(record, 2, 5)
    assert record.effective_count == 9


def test_order_that_has_no_effect_is_forgotten_after_the_boot_time():
    # It may have been lost, or a late one was executed after it.
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    record.record_sent(_s(0), 9)
    record.is_in_flight = False
    for time in range(1, 8):
        _update(record, time, 5)
        assert record.effective_count == 9
    _update(record, 10, 5)
    assert record.effective_count == 5


def test_refused_call_leaves_the_previous_order_in_force():
    # Its endpoints are starting; without it they were ordered elsewhere again.
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    record.record_sent(_s(0), 9)
    record.is_in_flight = False
    _update(record, 1, 5)
    record.record_sent(_s(2), 12)
    record.restore_order()
    record.is_in_flight = False
    assert record.effective_count == 9
    _update(record, 3, 5)
    _update(record, 12, 5)
    assert record.effective_count == 5


def test_order_from_before_a_reclaim_is_not_restored():
    record = group_record.GroupRecord(True)
    _update(record, 0, 9)
    record.record_sent(_s(0), 12)
    _update(record, 1, 0, draining=9)
    record.record_sent(_s(11), 8)
    record.restore_order()
    assert record.effective_count == 0


def test_late_execution_of_an_older_order_is_noticed():
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    record.record_sent(_s(0), 9)
    record.is_in_flight = False
    _update(record, 5, 9)
    _update(record, 20, 7)
    assert record.effective_count == 9
    _update(record, 29, 7)
    assert record.effective_count == 7


def test_draining_endpoints_below_the_order_were_reclaimed():
    record = group_record.GroupRecord(True)
    _update(record, 0, 9)
    assert _update(record, 1, 0, draining=9)
    assert record.is_unavailable(_s(10))
    assert not record.is_unavailable(_s(12))
    assert record.effective_count == 0


def test_endpoints_that_drain_one_by_one_were_not_reclaimed():
    # A rollout of the software must not move the fleet to other zones.
    record = group_record.GroupRecord(True)
    _update(record, 0, 9)
    assert not _update(record, 1, 8, draining=1)
    assert not record.is_unavailable(_s(1))


def test_endpoints_that_drain_after_an_order_were_not_reclaimed():
    record = group_record.GroupRecord(True)
    _update(record, 0, 9)
    record.record_sent(_s(0), 6)
    assert not _update(record, 1, 8, draining=1)
    assert not _update(record, 2, 6, draining=3)
    assert not record.is_unavailable(_s(2))


def test_endpoints_that_boot_beside_draining_ones_were_not_reclaimed():
    record = group_record.GroupRecord(True)
    _update(record, 0, 9)
    record.record_sent(_s(0), 6)
    _update(record, 1, 6, draining=3)
    record.record_sent(_s(1), 12)
    assert not _update(record, 2, 6, draining=3)
    assert record.effective_count == 12


def test_other_endpoints_that_drain_were_not_reclaimed():
    record = group_record.GroupRecord(False)
    _update(record, 0, 9)
    assert not _update(record, 1, 0, draining=9)


def test_zone_without_endpoints_to_give_is_left_out_for_a_time():
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    record.record_sent(_s(0), 9)
    record.record_unavailable(_s(1))
    assert record.effective_count == 5
    assert record.is_unavailable(_s(4))
    assert not record.is_unavailable(_s(6))


def test_zone_that_refuses_again_is_left_out_for_longer():
    # Refused calls cost as much as others.
    record = group_record.GroupRecord(True)
    _update(record, 0, 5)
    waits = []
    time = 0
    for _ in range(4):
        record.record_sent(_s(time), 9)
        record.record_unavailable(_s(time))
        start = time
        while record.is_unavailable(_s(time)):
            time += 1
        waits.append(time - start)
    assert waits == [4, 8, 16, 16]
    record.record_sent(_s(time), 6)
    _update(record, time + 5, 6)
    record.record_sent(_s(time + 5), 9)
    record.record_unavailable(_s(time + 5))
    assert not record.is_unavailable(_s(time + 9))
