"""Tests of the record of finalized windows."""

import pytest

from mustardwood import usage

_A, _B = {"tatra": 1}, {"tatra": 2}


def test_record_survives_the_store():
    """Failure: a successor reads other counts than were written."""
    record = usage.UsageRecord(1, 2**40 + 5, 12, 11, {12: {"fida11": 412}})
    assert usage.decode_record(record.encode()) == record


@pytest.mark.parametrize("value", [b"", b"{", b'{"windows": {"a": 1}}', b"[]"])
def test_malformed_record_is_none(value):
    """Failure: a malformed value stops the watch."""
    assert usage.decode_record(value) is None


def test_known_window_is_never_replaced():
    """Failure: a late write replaces a window that was sent."""
    known = usage.UsageRecord(1, 10, 5, 4, {5: _A})
    late = usage.UsageRecord(1, 11, 6, 4, {5: _B, 6: _B})
    assert known.merge(late).windows == {5: _A, 6: _B}


def test_window_that_a_restored_store_lacks_is_kept():
    """Failure: a restore takes back what was finalized."""
    known = usage.UsageRecord(0, 10, 6, 3, {5: _A, 6: _A})
    restored = usage.UsageRecord(0, 9, 4, 4, {4: _B})
    merged = known.merge(restored)
    assert (merged.through, merged.accepted) == (6, 4)
    assert merged.windows == {5: _A, 6: _A}


def test_later_window_of_an_older_record_counts_as_final():
    """Failure: a window is finalized again that a former holder finalized."""
    known = usage.UsageRecord(1, 2**40 + 9, 5, 5, {5: _A})
    older = usage.UsageRecord(1, 2**40 + 8, 6, 4, {5: _A, 6: _B})
    merged = known.merge(older)
    assert merged.through == 6
    assert merged.windows == {5: _A, 6: _B}


def test_window_that_the_later_record_left_out_stays_left_out():
    """Failure: a window is finalized that was left out for good."""
    known = usage.UsageRecord(1, 2**40, 8, 7, {8: _A})
    older = usage.UsageRecord(0, 10, 6, 3, {6: _B})
    merged = known.merge(older)
    assert merged.windows == {8: _A}
    assert merged.through == 8


def test_accepted_windows_are_dropped_from_the_record():
    """Failure: the record grows, and each VM receives it with each change."""
    record = usage.UsageRecord()
    for window in range(20):
        record = record.add_windows(0, 1, window, {window: _A}, window - 2)
    assert sorted(record.windows) == [16, 17, 18, 19]


def test_merged_records_do_not_grow():
    """Failure: every VM keeps all windows since its start.

    2,498 windows were held after 3.5 h.
    """
    held = written = usage.UsageRecord()
    for window in range(1000):
        written = written.add_windows(0, 1, window, {window: _A}, window - 2)
        held = held.merge(written)
        assert len(held.windows) <= 60
    assert sorted(held.windows) == [996, 997, 998, 999]


def test_windows_that_nobody_accepted_are_kept_by_a_merge():
    """Failure: a successor does not send what its predecessor finalized."""
    held = written = usage.UsageRecord()
    for window in range(100):
        written = written.add_windows(0, 1, window, {window: _A}, 49)
        held = held.merge(written)
    assert sorted(held.windows) == list(range(50, 100))
