"""Tests of endpoints whose response goes on without end."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

_READ_BYTES = 64 * 1024
"""Size of the parts in which bytes are received."""
_ENDLESS_BYTES = 32 * 1024 * 1024
"""Size at which the tests stop sending what should have been cut off."""


def test_event_without_end_is_cut_off_and_the_stream_continued_elsewhere():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\ndata: ")
    sent_bytes = 0
    while not first.is_aborted and sent_bytes < _ENDLESS_BYTES:
        first.listener.receive_data(b"x" * _READ_BYTES)
        sent_bytes += _READ_BYTES
    assert sent_bytes <= 1024 * 1024
    second = harness.client.sent[1]
    assert second.resume_after == 1
    second.begin()
    second.listener.receive_data(b"id: 2\ndata: b\n\n")
    second.listener.receive_end()
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    _, line = harness.journal.lines[-1]
    assert line["attempts"][0]["end"] == "an event is too long"


def test_long_stream_of_ordinary_events_is_never_cut_off():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    attempt = harness.client.sent[0]
    attempt.begin()
    events = b"".join(b"id: %d\ndata: %s\n\n" % (index, b"x" * 16_000)
                      for index in range(600))
    for start in range(0, len(events), _READ_BYTES):
        attempt.listener.receive_data(events[start:start + _READ_BYTES])
    attempt.listener.receive_end()
    assert (caller.body, caller.end) == (events, "complete")


@pytest.mark.parametrize("status", (404, 500))
def test_error_body_without_end_is_cut_off(status):
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    attempt = harness.client.sent[0]
    attempt.begin(status)
    sent_bytes = 0
    while not attempt.is_aborted and sent_bytes < _ENDLESS_BYTES:
        attempt.listener.receive_data(b"x" * _READ_BYTES)
        sent_bytes += _READ_BYTES
    assert sent_bytes <= 2 * 1024 * 1024
    assert caller.status == 502
    _, line = harness.journal.lines[-1]
    assert line["attempts"][0]["end"] == "the error body is too long"


def test_endpoints_that_send_no_answer_do_not_block_the_request():
    harness = harness_module.Harness(endpoints=5)
    for _ in range(2):
        harness.start()
        for _ in range(2):
            attempt = harness.client.sent[-1]
            attempt.is_response_invalid = True
            attempt.listener.receive_failure(True, "not an answer")
    _, caller = harness.start()
    harness.client.sent[-1].respond(body=b"data")
    assert (caller.status, caller.body) == (200, b"data")
