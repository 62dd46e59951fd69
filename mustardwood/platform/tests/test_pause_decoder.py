"""Tests of the decoding of pauses that endpoints ask for."""

import datetime

import pytest

from mustardwood import dispatch
from mustardwood.platform import pause_decoder


def _decode(*values, status=503):
    return pause_decoder.decode_pause(
        status, [(b"Retry-After", each) for each in values])


@pytest.mark.parametrize(("value", "seconds"), [
    (b"3", 3.0),
    (b"0", 0.0),
    (b"0.25", 0.25),
    (b".5", 0.5),
    (b" 2. ", 2.0),
    (b"999999999999999", dispatch.MAX_PAUSE.total_seconds()),
])
def test_number_of_seconds_is_read(value, seconds):
    decoded = _decode(value)
    assert decoded.duration == datetime.timedelta(seconds=seconds)
    assert not decoded.problem


@pytest.mark.parametrize("value", [
    b"-1", b"nan", b"inf", b"1e3", b"+2", b"", b"1,5", b"9" * 16,
    b"Fri, 04 Dec 2026 18:00:00 GMT", b"\xff"
])
def test_other_values_are_ignored_with_a_reason(value):
    decoded = _decode(value)
    assert decoded.duration is None
    assert decoded.problem


def test_several_values_are_ignored_with_a_reason():
    decoded = _decode(b"1", b"1")
    assert decoded.duration is None
    assert decoded.problem


@pytest.mark.parametrize("status", [200, 429, 500, 421])
def test_other_responses_ask_for_no_pause(status):
    assert _decode(b"3", status=status) == dispatch.PauseStatement()


def test_response_without_the_header_asks_for_no_pause():
    assert _decode() == dispatch.PauseStatement()
