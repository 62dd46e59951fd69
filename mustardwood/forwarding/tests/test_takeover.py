"""Tests of streams that a second endpoint takes over from a silent one."""

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_STALL_TIMEOUT = ms(1200)


def _start_silent_stream(harness):
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    return first, caller


def test_stream_does_not_run_twice_while_its_vm_stands_still():
    """No timer runs after the second endpoint has got the request."""
    harness = harness_module.Harness()
    first, _ = _start_silent_stream(harness)
    harness.scheduler.advance(_STALL_TIMEOUT)
    assert len(harness.client.sent) == 2
    assert first.is_aborted


def test_silent_endpoint_is_left_before_the_request_is_written_elsewhere():
    """The process may stand still between any two steps."""
    harness = harness_module.Harness()
    first, _ = _start_silent_stream(harness)
    harness.client.is_connected = False
    harness.scheduler.advance(_STALL_TIMEOUT)
    second = harness.client.sent[1]
    assert not first.is_aborted
    open_at_write = []
    first.on_abort = lambda: open_at_write.append(second.is_connected)
    second.connect()
    assert open_at_write == [False]
    assert not second.is_aborted


def test_stream_that_went_on_is_not_written_elsewhere():
    harness = harness_module.Harness()
    first, caller = _start_silent_stream(harness)
    harness.client.is_connected = False
    harness.scheduler.advance(_STALL_TIMEOUT)
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert harness.client.sent[1].is_aborted
    assert caller.end == "complete"


def test_request_whose_key_was_removed_while_the_vm_stood_still_is_not_written(
):
    """The connection was being opened when the process stopped."""
    harness = harness_module.Harness()
    harness.client.is_connected = False
    _, caller = harness.start()
    attempt = harness.client.sent[0]
    harness.clock.advance(ms(6000))
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    attempt.connect()
    assert attempt.is_aborted
    harness.scheduler.advance(ms(0))
    assert caller.status == 401
    assert len(harness.client.sent) == 1
    assert not harness.loads.list_own_loads()
