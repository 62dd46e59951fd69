"""Tests of requests around a planned exit of the process."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_GRACE = ms(5000)
"""Time from the limit to the exit in these tests."""


def _limit_requests(harness):
    harness.process_exit.limit_requests(harness.clock.monotonic() + _GRACE)


def _make_request(harness, lasts, **changes):
    """Returns a request whose time limit ends after `lasts`."""
    return harness_module.make_request(harness,
                                       expires_at=harness.clock.monotonic() +
                                       lasts,
                                       **changes)


def _assert_refused(harness, caller):
    """Checks that a request was refused as not run, to be sent elsewhere."""
    assert (caller.status, caller.end) == (503, "complete")
    assert caller.refusal.retry_after == ms(0)
    _, fields = harness.journal.lines[-1]
    assert fields["outcome"] == "process exits"


@pytest.mark.parametrize("lasts, is_sent", [(_GRACE, True),
                                            (_GRACE + ms(1), False)])
def test_only_requests_that_end_before_the_exit_are_sent(lasts, is_sent):
    """Others would be cut off while an endpoint runs them."""
    harness = harness_module.Harness()
    _limit_requests(harness)
    _, caller = harness.start(_make_request(harness, lasts))
    assert bool(harness.client.sent) == is_sent
    if not is_sent:
        _assert_refused(harness, caller)


def _start_waiting_request(harness):
    """Starts a request that waits for room; returns it and its caller."""
    harness.loads.add("endpoint-0", dispatch.EndpointLoad(requests=200))
    forwarding, caller = harness.start(
        harness_module.make_long_request(harness))
    assert not harness.client.sent and caller.status is None
    return forwarding, caller


def test_request_that_has_waited_for_room_is_not_sent_too_late():
    """It was accepted in time, but would begin to run during the stop."""
    harness = harness_module.Harness(endpoints=1, slots=12)
    _, caller = _start_waiting_request(harness)
    _limit_requests(harness)
    harness.loads.subtract("endpoint-0", dispatch.EndpointLoad(requests=200))
    harness.scheduler.advance(ms(100))
    assert not harness.client.sent
    _assert_refused(harness, caller)


def test_request_that_did_not_run_is_not_sent_to_another_endpoint_too_late():
    """Its first endpoint refuses it after the limit."""
    harness = harness_module.Harness()
    _, caller = harness.start(_make_request(harness, ms(10_000)))
    _limit_requests(harness)
    harness.client.sent[0].respond(status=503, not_run=True)
    assert len(harness.client.sent) == 1
    _assert_refused(harness, caller)


def test_stream_that_has_begun_goes_on_at_another_endpoint_during_the_stop():
    """Its caller can't be refused any more."""
    harness = harness_module.Harness()
    harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    _limit_requests(harness)
    first.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2


def test_open_request_is_answered_at_the_exit():
    """A closed connection promises nothing to the caller."""
    harness = harness_module.Harness()
    forwarding, caller = harness.start()
    forwarding.handle_exit()
    assert harness.client.sent[0].is_aborted
    assert (caller.status, caller.end) == (502, "complete")


def test_waiting_request_is_refused_as_not_run_at_the_exit():
    """It was read, so its caller must learn that it may be sent again."""
    harness = harness_module.Harness(endpoints=1, slots=12)
    forwarding, caller = _start_waiting_request(harness)
    forwarding.handle_exit()
    _assert_refused(harness, caller)


def test_stream_that_has_begun_is_visibly_incomplete_at_the_exit():
    """An early end must not look like the end of the stream."""
    harness = harness_module.Harness()
    forwarding, caller = harness.start(
        harness_module.make_stream_request(harness))
    harness.client.sent[0].begin()
    harness.client.sent[0].listener.receive_data(b"id: 1\ndata: a\n\n")
    forwarding.handle_exit()
    assert caller.end == "broken"
