"""Tests of the history of software versions."""

import datetime

import msgspec
import pytest

from mustardwood import dispatch

_START = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
_EMPTY = dispatch.VersionHistory()


def _seconds(count):
    return datetime.timedelta(seconds=count)


def _at(seconds):
    return _START + _seconds(seconds)


def _update(history, seconds, *versions):
    return history.update({"engine": set(versions)}, _at(seconds), _at(seconds))


def _find(history, seconds, period=12):
    return history.find_only_version("engine", _seconds(period), _at(seconds))


def test_only_version_is_known_after_the_period_and_the_clocks_margin():
    history = _update(_EMPTY, 0, "v1")
    assert _find(history, 21) is None
    assert _find(history, 22) == "v1"


def test_first_start_of_all_leaves_nothing_unknown():
    history = _EMPTY.update({"engine": {"v1"}}, _at(0),
                            datetime.datetime.fromtimestamp(0, datetime.UTC))
    assert _find(history, 0) == "v1"


def test_two_versions_are_ambiguous_until_the_first_has_been_gone_for_long():
    history = _update(_EMPTY, 0, "v1")
    history = _update(history, 100, "v1", "v2")
    assert _find(history, 100) is None
    history = _update(history, 110, "v2")
    assert _find(history, 131) is None
    assert _find(history, 133) == "v2"


def test_version_that_returns_counts_as_present():
    history = _update(_EMPTY, 0, "v1")
    history = _update(history, 50)
    history = _update(history, 60, "v1")
    assert _find(history, 500) == "v1"


def test_unknown_version_is_none():
    assert _find(_update(_EMPTY, 0, ""), 100) is None
    assert _find(_EMPTY, 100) is None


def test_unchanged_listing_changes_nothing():
    history = _update(_update(_EMPTY, 0, "v1", "v2"), 5, "v1")
    assert _update(history, 60, "v1") == history


def test_versions_that_ended_long_ago_are_forgotten():
    history = _update(_update(_EMPTY, 0, "v1", "v2"), 5, "v1")
    history = _update(history, 700, "v1")
    assert not history.has("engine", "v2")


@pytest.mark.parametrize("jump", [-5, 5])
def test_jumps_of_the_clock_are_covered(jump):
    history = _update(_EMPTY, 0, "v1", "v2")
    # The VM that records the removal has a wrong clock.
    history = _update(history, 100 + jump, "v2")
    assert _find(history, 112) is None


def test_history_is_the_same_after_its_way_through_the_store():
    history = _update(_update(_EMPTY, 0, "v1", "v2"), 5, "v1")
    encoded = msgspec.msgpack.encode(history)
    assert msgspec.msgpack.decode(encoded,
                                  type=dispatch.VersionHistory) == history
