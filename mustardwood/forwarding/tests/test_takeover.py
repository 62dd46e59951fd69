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


def _take_over_late(harness):
    """Returns a stalled attempt, which closes late, and its successor."""
    first, caller = _start_silent_stream(harness)
    first.closes_late = True
    harness.scheduler.advance(_STALL_TIMEOUT)
    return first, harness.client.sent[1], caller


def test_stream_is_written_elsewhere_after_its_endpoint_has_closed():
    """An endpoint may work on for some time after its connection is closed."""
    harness = harness_module.Harness()
    first, second, _ = _take_over_late(harness)
    harness.scheduler.advance(ms(300))
    assert first.has_ended_sending and not second.is_written
    first.close_by_endpoint()
    assert second.is_written
    second.respond(body=b"id: 2\ndata: b\n\n")
    (_,
     fields), = (each for each in harness.journal.lines if each[0] == "request")
    assert fields["attempts"][0]["closed_after_ms"] == 300


def test_stream_is_written_elsewhere_if_its_endpoint_does_not_close():
    harness = harness_module.Harness()
    first, second, _ = _take_over_late(harness)
    harness.scheduler.advance(ms(399))
    assert not second.is_written and not first.is_aborted
    harness.scheduler.advance(ms(1))
    assert second.is_written and first.is_aborted


def test_stream_whose_caller_leaves_before_the_close_is_not_written():
    harness = harness_module.Harness()
    forwarding, _ = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.closes_late = True
    harness.scheduler.advance(_STALL_TIMEOUT)
    second = harness.client.sent[1]
    forwarding.handle_caller_disconnect()
    first.close_by_endpoint()
    harness.scheduler.advance(ms(1000))
    assert first.is_aborted
    assert second.is_aborted and not second.is_written


def test_successor_lost_before_the_close_does_not_release_the_next_one():
    harness = harness_module.Harness()
    first, second, _ = _take_over_late(harness)
    second.listener.receive_failure(False, "connection lost")
    assert len(harness.client.sent) == 2
    first.close_by_endpoint()
    third = harness.client.sent[2]
    assert third.is_written and not second.is_written


def test_invalid_response_is_followed_by_a_run_only_after_the_close():
    """The endpoint may still work on the request."""
    harness = harness_module.Harness()
    harness.start()
    first = harness.client.sent[0]
    first.closes_late = True
    first.listener.receive_failure(True, "not an answer")
    second = harness.client.sent[1]
    assert not second.is_written
    first.on_closed(True)
    assert second.is_written


def test_key_that_is_removed_before_the_close_stops_the_stream():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.closes_late = True
    harness.scheduler.advance(_STALL_TIMEOUT)
    second = harness.client.sent[1]
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    first.close_by_endpoint()
    harness.scheduler.advance(ms(0))
    assert second.is_aborted and not second.is_written
    assert caller.end == "complete"


def test_endpoint_that_goes_on_during_the_takeover_keeps_its_stream():
    """Two endpoints would work on the stream of one that drops nothing."""
    harness = harness_module.Harness()
    first, second, caller = _take_over_late(harness)
    harness.scheduler.advance(ms(200))
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    assert second.is_aborted and not second.is_written
    harness.scheduler.advance(ms(600))
    assert not first.is_aborted
    first.listener.receive_data(b"id: 3\ndata: c\n\n")
    first.listener.receive_end()
    assert caller.end == "complete"
    assert caller.body.count(b"data") == 3
    assert len(harness.client.sent) == 2
    assert not harness.loads.list_own_loads()


def test_endpoint_that_falls_silent_again_is_left_after_its_time():
    harness = harness_module.Harness()
    first, _, _ = _take_over_late(harness)
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    harness.scheduler.advance(_STALL_TIMEOUT)
    third = harness.client.sent[2]
    assert not third.is_written
    harness.scheduler.advance(ms(400))
    assert first.is_aborted and third.is_written
    assert third.resume_after == 2


def test_data_that_waits_while_the_vm_stands_still_keeps_the_stream():
    """The timer of the takeover runs before the data is read."""
    harness = harness_module.Harness()
    first, second, _ = _take_over_late(harness)
    harness.clock.advance(ms(1000))
    harness.scheduler.call_later(
        ms(0), lambda: first.listener.receive_data(b"id: 2\ndata: b\n\n"))
    harness.scheduler.advance(ms(0))
    assert second.is_aborted and not second.is_written
    assert not first.is_aborted


def test_silent_stream_whose_successor_is_lost_and_that_stays_silent_goes_on():
    harness = harness_module.Harness()
    first, second, caller = _take_over_late(harness)
    second.listener.receive_failure(False, "connection lost")
    harness.scheduler.advance(ms(400))
    assert first.is_aborted
    third = harness.client.sent[2]
    assert third.is_written
    third.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_stream_returns_to_its_endpoint_if_the_only_other_one_is_full():
    """It was only silent for a moment, and has dropped the request."""
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_silent_stream(harness)
    harness.scheduler.advance(_STALL_TIMEOUT)
    second = harness.client.sent[1]
    second.respond(503, not_run=True)
    third = harness.client.sent[2]
    assert third.endpoint == first.endpoint
    assert third.resume_after == 1
    third.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"
    assert caller.body.count(b"data") == 2


def test_stream_does_not_return_to_an_endpoint_that_may_still_run_it():
    harness = harness_module.Harness(endpoints=2)
    _, second, caller = _take_over_late(harness)
    harness.scheduler.advance(ms(400))
    assert second.is_written
    second.respond(503, not_run=True)
    assert len(harness.client.sent) == 2
    assert caller.end == "broken"


def test_refusal_during_the_takeover_lets_the_request_be_written_elsewhere():
    harness = harness_module.Harness()
    harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.closes_late = True
    harness.scheduler.advance(_STALL_TIMEOUT)
    second = harness.client.sent[1]
    first.respond(503, not_run=True)
    harness.scheduler.advance(ms(0))
    assert second.is_written and not second.is_aborted


def test_plain_response_during_the_takeover_is_used():
    harness = harness_module.Harness()
    _, caller = harness.start()
    first = harness.client.sent[0]
    first.closes_late = True
    harness.scheduler.advance(ms(800))
    second = harness.client.sent[1]
    first.respond(body=b"whole")
    assert second.is_aborted and not second.is_written
    assert (caller.end, caller.body) == ("complete", b"whole")


def test_silent_endpoint_is_not_left_for_one_that_has_just_refused():
    """Each of many silent streams was cut, and refused again."""
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_silent_stream(harness)
    harness.scheduler.advance(ms(1000))
    harness.health.record_refusal(
        next(each.name
             for each in harness.list_usable()
             if each.name != first.endpoint.name))
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == 1 and not first.has_ended_sending
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.end == "complete"


def test_silent_stream_goes_on_at_a_third_endpoint_if_one_has_refused():
    harness = harness_module.Harness(endpoints=3)
    first, _ = _start_silent_stream(harness)
    harness.scheduler.advance(ms(1000))
    other, third = [
        each.name
        for each in harness.list_usable()
        if each.name != first.endpoint.name
    ]
    harness.health.record_refusal(other)
    harness.scheduler.advance(ms(300))
    assert harness.client.sent[1].endpoint.name == third


def test_silent_stream_is_taken_over_when_the_refusal_is_long_ago():
    harness = harness_module.Harness(endpoints=2)
    first, _ = _start_silent_stream(harness)
    harness.scheduler.advance(ms(1000))
    harness.health.record_refusal(
        next(each.name
             for each in harness.list_usable()
             if each.name != first.endpoint.name))
    harness.scheduler.advance(ms(1100))
    assert len(harness.client.sent) == 2


def test_silent_endpoint_is_not_left_without_a_retry_for_the_return():
    """The stream was lost if the other endpoint refused it."""
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_silent_stream(harness)
    while harness.context.retry_budgets.take_retry("engine", 0.5, spare=1):
        pass
    harness.scheduler.advance(_STALL_TIMEOUT)
    assert len(harness.client.sent) == 1 and not first.has_ended_sending
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.end == "complete"
