"""Tests of streams that their endpoint breaks off without an error."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

_EVENT = b"id: 1\ndata: a\n\n"


def _start(policy, endpoints=3, max_runs=2, **changes):
    harness = harness_module.Harness(endpoints=endpoints)
    if policy is dispatch.RetryPolicy.AT_MOST_ONCE:
        max_runs = 1
    request = harness_module.make_stream_request(harness,
                                                 retry_policy=policy,
                                                 max_runs=max_runs,
                                                 **changes)
    _, caller = harness.start(request)
    return harness, caller


def _end_stream(harness, body, is_close_delimited=True):
    """Lets the last attempt respond with a stream that ends regularly."""
    attempt = harness.client.sent[-1]
    attempt.is_close_delimited = is_close_delimited
    attempt.respond(body=body)


@pytest.mark.parametrize("is_close_delimited", [True, False],
                         ids=["close-delimited", "framed"])
def test_stream_that_ends_inside_an_event_does_not_look_complete(
        is_close_delimited):
    harness, caller = _start(dispatch.RetryPolicy.AT_MOST_ONCE)
    _end_stream(harness, _EVENT + b"id: 2\ndata: b", is_close_delimited)
    assert (caller.status, caller.body, caller.end) == (200, _EVENT, "broken")
    assert len(harness.client.sent) == 1
    assert not harness.loads.list_own_loads()


@pytest.mark.parametrize("partial", [b"id: 1\nda", b"data: a\n", b"data", b""],
                         ids=["id", "line", "name", "nothing"])
def test_stream_that_ends_before_its_first_event_is_answered_as_lost(partial):
    harness, caller = _start(dispatch.RetryPolicy.AT_MOST_ONCE)
    _end_stream(harness, partial)
    assert caller.status == 502
    assert len(harness.client.sent) == 1


def test_resumable_stream_that_ends_inside_an_event_goes_on_elsewhere():
    harness, caller = _start(dispatch.RetryPolicy.RESUMABLE)
    _end_stream(harness, _EVENT + b"id: 2\ndata: b")
    assert harness.client.sent[1].resume_after == 1
    _end_stream(harness, b"id: 2\ndata: b\n\n")
    assert (caller.body, caller.end) == (_EVENT + b"id: 2\ndata: b\n\n",
                                         "complete")


def test_continuation_that_is_broken_off_does_not_look_complete():
    harness, caller = _start(dispatch.RetryPolicy.RESUMABLE)
    _end_stream(harness, _EVENT + b"id: 2\ndata: b")
    _end_stream(harness, b"id: 2\ndat")
    assert (caller.body, caller.end) == (_EVENT, "broken")


def test_endpoint_that_breaks_streams_off_does_not_count_as_healthy():
    harness, _ = _start(dispatch.RetryPolicy.AT_MOST_ONCE, endpoints=1)
    _end_stream(harness, _EVENT + b"id: 2\ndata: b")
    assert harness.health.find_failure_rate("endpoint-0") > 0
    _, fields = harness.journal.lines[-1]
    attempt, = fields["attempts"]
    assert attempt["end"] == "the stream ends inside an event"
    assert attempt["partial_event_bytes"] == 13


@pytest.mark.parametrize("rest", [b"", b"\n", b"\r\n", b": comment", b":\n"])
def test_stream_that_ends_after_an_event_is_complete(rest):
    harness, caller = _start(dispatch.RetryPolicy.AT_MOST_ONCE)
    _end_stream(harness, _EVENT + rest)
    assert (caller.body, caller.end) == (_EVENT + rest, "complete")
    assert harness.health.find_failure_rate("endpoint-0") == 0


@pytest.mark.parametrize("is_close_delimited, end", [(True, "broken"),
                                                     (False, "complete")],
                         ids=["close-delimited", "framed"])
def test_only_framing_tells_that_a_continuation_has_no_further_events(
        is_close_delimited, end):
    harness, caller = _start(dispatch.RetryPolicy.RESUMABLE)
    _end_stream(harness, _EVENT + b"id: 2\ndata: b")
    _end_stream(harness, b"", is_close_delimited)
    assert (caller.body, caller.end) == (_EVENT, end)


def test_successor_that_ends_without_events_is_replaced_too():
    harness, caller = _start(dispatch.RetryPolicy.RESUMABLE, max_runs=3)
    silent = harness.client.sent[0]
    silent.begin()
    silent.listener.receive_data(_EVENT + b"id: 2\nda")
    harness.scheduler.advance(harness_module.ms(1_300))
    assert len(harness.client.sent) == 2 and silent.is_aborted
    _end_stream(harness, b"")
    assert harness.client.sent[2].resume_after == 1
    _end_stream(harness, b"id: 2\ndata: b\n\n")
    assert (caller.body, caller.end) == (_EVENT + b"id: 2\ndata: b\n\n",
                                         "complete")


def test_framed_stream_without_events_is_complete():
    harness, caller = _start(dispatch.RetryPolicy.AT_MOST_ONCE)
    _end_stream(harness, b"", is_close_delimited=False)
    assert (caller.status, caller.body, caller.end) == (200, b"", "complete")


@pytest.mark.parametrize("status, verified, not_run", [
    (200, False, False),
    (404, True, False),
    (421, True, True),
    (500, True, False),
    (503, False, True),
    (503, True, False),
])
@pytest.mark.parametrize("policy", list(dispatch.RetryPolicy))
def test_error_of_the_next_endpoint_does_not_get_into_a_begun_stream(
        policy, status, verified, not_run):
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start(
        harness_module.make_stream_request(harness, retry_policy=policy))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    first.listener.receive_failure(True, "reset")
    if len(harness.client.sent) > 1:
        harness.client.sent[1].respond(
            status,
            b"HTTP/1.1 500 Error\r\n\r\nid: 9\ndata: error\n\n",
            verified=verified,
            not_run=not_run)
    harness.scheduler.advance(harness_module.ms(20_000))
    assert caller.body == b"id: 1\ndata: a\n\n"
    assert caller.end == "broken"
