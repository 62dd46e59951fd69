"""Tests of the record of the versions that began streams."""

import datetime

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch import stream_version_table

_KEY = stream_version_table.find_key("engine", "id-1")


@pytest.fixture(name="clock")
def _clock():
    return timing.ManualClock()


@pytest.fixture(name="table")
def _table(clock):
    return dispatch.StreamVersionTable(clock)


def test_stream_is_forgotten_after_its_lifetime(clock, table):
    table.record(_KEY, "v1")
    clock.advance(datetime.timedelta(seconds=59))
    assert table.find(_KEY) == "v1"
    clock.advance(datetime.timedelta(seconds=2))
    assert table.find(_KEY) is None


def test_resumed_stream_is_kept_for_longer(clock, table):
    table.record(_KEY, "v1")
    clock.advance(datetime.timedelta(seconds=40))
    table.record(_KEY, "v1")
    clock.advance(datetime.timedelta(seconds=40))
    assert table.find(_KEY) == "v1"


def test_stream_reported_with_two_versions_stays_unknown(table):
    table.record(_KEY, "v1")
    table.record_peer_streams({"v1.1": _KEY})
    table.record_peer_streams({"v1": _KEY})
    assert table.find(_KEY) is None


def test_number_of_streams_is_bounded(table):
    for number in range(33_000):
        table.record(number.to_bytes(8), "v1")
    assert table.find((0).to_bytes(8)) is None
    assert table.find((32_999).to_bytes(8)) == "v1"
    reported = sum(
        len(keys)
        for _ in range(100)
        for keys in table.take_new_streams().values())
    assert reported <= 1024 * 8


def test_incomplete_key_of_a_peer_is_ignored(table):
    table.record_peer_streams({"v1": _KEY + b"rest"})
    assert table.find(_KEY) == "v1"
    assert table.find(b"rest") is None


def test_streams_of_two_services_have_different_keys():
    assert stream_version_table.find_key("other", "id-1") != _KEY


@pytest.mark.parametrize("request_id", ["", "\xff\x00", "x" * 100_000])
def test_every_request_id_has_a_key_of_the_same_size(request_id):
    assert len(stream_version_table.find_key("engine", request_id)) == len(_KEY)
