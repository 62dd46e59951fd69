"""Tests of callers that read a response more slowly than it arrives."""

from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def test_endpoint_of_a_slow_caller_does_not_count_as_silent():
    harness = harness_module.Harness()
    forwarding, caller = harness.start(
        harness_module.make_stream_request(harness))
    attempt = harness.client.sent[0]
    attempt.begin()
    attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
    forwarding.pause()
    assert attempt.is_paused
    harness.scheduler.advance(ms(8000))
    assert len(harness.client.sent) == 1
    forwarding.resume()
    assert not attempt.is_paused
    attempt.listener.receive_data(b"id: 2\ndata: b\n\n")
    attempt.listener.receive_end()
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_endpoint_that_is_silent_after_the_caller_has_read_on_is_replaced():
    harness = harness_module.Harness()
    forwarding, _ = harness.start(harness_module.make_stream_request(harness))
    attempt = harness.client.sent[0]
    attempt.begin()
    attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
    forwarding.pause()
    harness.scheduler.advance(ms(1000))
    forwarding.resume()
    harness.scheduler.advance(ms(5000))
    assert len(harness.client.sent) > 1


def test_endpoint_that_continues_for_a_slow_caller_is_not_read_either():
    """It would be read at full speed, and its response would pile up."""
    harness = harness_module.Harness()
    forwarding, caller = harness.start(
        harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    forwarding.pause()
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.is_paused
    harness.scheduler.advance(ms(8000))
    assert len(harness.client.sent) == 2
    forwarding.resume()
    assert not second.is_paused
    second.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_response_of_a_slow_caller_is_aborted_at_its_deadline():
    harness = harness_module.Harness()
    forwarding, caller = harness.start(
        harness_module.make_stream_request(harness))
    attempt = harness.client.sent[0]
    attempt.begin()
    attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
    forwarding.pause()
    harness.scheduler.advance(ms(10_000))
    assert attempt.is_aborted
    assert caller.end == "broken"
    forwarding.resume()
    assert len(harness.client.sent) == 1
