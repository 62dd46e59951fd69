"""Tests of forwarding while endpoints fail in various ways."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def test_complete_response_reaches_the_caller():
    harness = harness_module.Harness()
    forwarding, caller = harness.start()
    harness.client.sent[0].respond(body=b"data")
    assert (caller.status, caller.body, caller.end) == (200, b"data",
                                                        "complete")
    assert forwarding.is_done
    assert not harness.loads.list_own_loads()


def test_idempotent_request_is_retried_after_an_incomplete_response():
    harness = harness_module.Harness()
    _, caller = harness.start()
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"da")
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.endpoint.name != first.endpoint.name
    second.respond(body=b"data")
    assert (caller.body, caller.end) == (b"data", "complete")


@pytest.mark.parametrize("sent", [True, False])
def test_at_most_once_request_is_retried_only_if_unsent(sent):
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].listener.receive_failure(sent, "lost")
    assert len(harness.client.sent) == (1 if sent else 2)
    assert caller.status == (502 if sent else None)


def test_request_is_refused_as_not_run_if_no_byte_was_sent():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    for attempt in (0, 1):
        harness.client.sent[attempt].listener.receive_failure(False, "refused")
    assert caller.status == 503
    assert caller.refusal.retry_after is not None


def test_unconfirmed_not_run_status_is_not_forwarded():
    harness = harness_module.Harness(endpoints=1)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].respond(status=503, not_run=False)
    assert caller.status == 502


def test_confirmed_not_run_status_is_retried_then_refused():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].respond(status=503, not_run=True)
    harness.client.sent[1].respond(status=503, not_run=True)
    assert caller.status == 503


def test_error_response_of_an_endpoint_is_forwarded_unchanged():
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].respond(status=500, body=b"reason")
    assert (caller.status, caller.body) == (500, b"reason")


def test_replaced_endpoint_gets_no_more_requests():
    """The old endpoint stays registered for some seconds after a crash."""
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start()
    replaced = harness.client.sent[0].endpoint
    harness.client.sent[0].respond(status=421, not_run=True)
    harness.client.sent[1].respond(body=b"whole")
    assert caller.status == 200
    for _ in range(20):
        harness.scheduler.advance(ms(200))
        harness.start()
        assert harness.client.sent[-1].endpoint != replaced
        harness.client.sent[-1].respond(body=b"whole")


def test_replaced_endpoint_is_used_after_a_new_start():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].respond(status=421, not_run=True)
    assert not harness.list_usable()
    harness.directory.set_endpoint(harness_module.make_endpoint(0, started=7))
    assert harness.list_usable()


def test_replaced_mark_expires():
    """The mark has to expire, because the start time may be unknown.

    A restarted endpoint without a start time looks like the one before.
    """
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].respond(status=421, not_run=True)
    harness.scheduler.advance(ms(10_100))
    assert harness.list_usable()


@pytest.mark.parametrize("status", (404, 500))
def test_error_response_larger_than_the_buffer_is_not_forwarded_truncated(
        status):
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    attempt = harness.client.sent[0]
    attempt.begin(status)
    for _ in range(300):
        attempt.listener.receive_data(bytes(1024))
    attempt.listener.receive_end()
    assert caller.status == 502
    assert len(caller.body) < 1024


def test_unverified_success_is_not_forwarded():
    harness = harness_module.Harness(endpoints=1)
    _, caller = harness.start()
    harness.client.sent[0].respond(status=200, body=b"forged", verified=False)
    assert caller.status == 502
    assert b"forged" not in caller.body


def test_request_runs_on_at_most_max_runs_endpoints():
    harness = harness_module.Harness(endpoints=5)
    _, caller = harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    assert caller.status == 502


def test_retries_stop_when_the_budget_is_used_up():
    harness = harness_module.Harness(endpoints=5, retry_burst=0.0)
    retried = 0
    for _ in range(60):
        before = len(harness.client.sent)
        harness.start(harness_module.make_request(harness, target=f"/{before}"))
        harness.client.sent[before].listener.receive_failure(True, "reset")
        retried += len(harness.client.sent) - before - 1
    # The burst allows two retries, and the ratio 17% of the requests.
    assert 8 <= retried <= 12


def test_retries_of_less_urgent_requests_leave_one_for_an_urgent_one():
    """Engines crash, and their addresses reject all that is still sent."""
    harness = harness_module.Harness(endpoints=4, retry_burst=4.0)
    for _ in range(8):
        harness.start(harness_module.make_long_request(harness))
        harness.client.sent[-1].respond(503, not_run=True)
    _, patient = harness.start(harness_module.make_long_request(harness))
    harness.client.sent[-1].respond(503, not_run=True)
    assert patient.status == 503
    _, urgent = harness.start(
        harness_module.make_stream_request(harness, tier=0))
    harness.client.sent[-1].respond(503, not_run=True)
    harness.client.sent[-1].respond(body=b"id: 1\ndata: a\n\n")
    assert urgent.status == 200


def test_stream_is_resumed_after_the_last_complete_event():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.resume_after == 1
    second.respond(body=b"id: 2\ndata: b\n\n")
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_duplicate_events_of_a_resumed_stream_are_dropped():
    harness = harness_module.Harness()
    first, caller = _start_stream(harness)
    first.listener.receive_failure(True, "reset")
    harness.client.sent[1].respond(body=b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    assert caller.body.count(b"id: 1") == 1


def test_broken_at_most_once_stream_is_aborted():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_long_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    first.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 1
    assert caller.end == "broken"


def test_stalled_stream_is_resumed_before_its_caller_disconnects():
    harness = harness_module.Harness()
    first, _ = _start_stream(harness)
    harness.scheduler.advance(ms(1900))
    assert first.is_aborted
    assert harness.client.sent[1].resume_after == 1


def test_silent_endpoint_keeps_its_stream_if_no_other_has_room():
    """A sound endpoint may send nothing for a second and then continue."""
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    _fill_other_endpoints(harness, first)
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    harness.scheduler.advance(ms(1900))
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_stalled_stream_is_resumed_when_another_endpoint_gets_room():
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_stream(harness)
    load = _fill_other_endpoints(harness, first)
    harness.scheduler.advance(ms(1500))
    assert len(harness.client.sent) == 1
    harness.loads.subtract(_find_other_endpoint(harness, first), load)
    harness.scheduler.advance(ms(100))
    assert harness.client.sent[1].resume_after == 1
    harness.client.sent[1].respond(body=b"id: 2\ndata: b\n\n")
    assert first.is_aborted
    assert caller.end == "complete"


def test_stream_goes_on_at_a_third_endpoint_if_the_next_one_refuses():
    harness = harness_module.Harness(endpoints=3)
    _, caller = _start_stream(harness)
    harness.scheduler.advance(ms(1300))
    harness.client.sent[1].respond(503, not_run=True)
    assert harness.client.sent[2].resume_after == 1
    harness.client.sent[2].respond(body=b"id: 2\ndata: b\n\n")
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_silent_endpoint_keeps_its_stream_if_the_next_one_is_unreachable():
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_stream(harness)
    harness.client.is_connected = False
    harness.scheduler.advance(ms(1300))
    harness.client.sent[1].listener.receive_failure(False, "refused")
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_silent_endpoint_that_goes_on_before_its_successor_begins_is_kept():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    harness.client.is_connected = False
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    harness.scheduler.advance(ms(1300))
    first.listener.receive_data(b"ta: b\n\n")
    assert harness.client.sent[1].is_aborted
    assert not first.is_aborted
    first.listener.receive_end()
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"
    assert not harness.loads.list_own_loads()


def test_incomplete_event_of_a_silent_endpoint_is_dropped_with_it():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    harness.scheduler.advance(ms(1300))
    harness.client.sent[1].respond(body=b"id: 2\ndata: b\n\n")
    assert first.is_aborted
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def test_data_of_an_endpoint_that_was_replaced_is_ignored():
    harness = harness_module.Harness()
    first, _ = _start_stream(harness)
    harness.scheduler.advance(ms(1200))
    assert len(harness.client.sent) == 2
    assert first.is_aborted
    first.listener.receive_data(b"id: 2\ndata: late\n\n")
    assert not harness.client.sent[1].is_aborted


def test_error_response_to_the_successor_of_a_silent_attempt_is_forwarded():
    harness = harness_module.Harness()
    _, caller = harness.start()
    harness.scheduler.advance(ms(900))
    harness.client.sent[1].respond(404, body=b"no such item")
    assert (caller.status, caller.body) == (404, b"no such item")
    assert harness.client.sent[0].is_aborted


def test_caller_that_disconnects_during_the_takeover_aborts_both_attempts():
    harness = harness_module.Harness()
    forwarding, _ = harness.start()
    harness.scheduler.advance(ms(900))
    forwarding.handle_caller_disconnect()
    assert [each.is_aborted for each in harness.client.sent] == [True, True]
    assert not harness.loads.list_own_loads()


def test_broken_stream_waits_for_room_until_its_deadline():
    """It can no longer be refused, so a maximum wait would only cut it."""
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_stream(harness)
    load = _fill_other_endpoints(harness, first)
    harness.scheduler.advance(ms(900))
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(900))
    assert not caller.end
    harness.loads.subtract(_find_other_endpoint(harness, first), load)
    harness.scheduler.advance(ms(100))
    harness.client.sent[1].respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_request_that_ran_waits_for_room_as_long_as_a_new_one():
    """The time for which an endpoint ran it is not time in the queue."""
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    load = _fill_other_endpoints(harness, first)
    harness.scheduler.advance(ms(900))
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(300))
    assert caller.status is None
    harness.loads.subtract(_find_other_endpoint(harness, first), load)
    harness.scheduler.advance(ms(100))
    harness.client.sent[1].respond(body=b"id: 1\ndata: a\n\n")
    assert caller.end == "complete"


def test_accepted_stream_continues_after_its_key_was_removed():
    """The request was allowed when it was accepted."""
    harness = harness_module.Harness()
    first, caller = _start_stream(harness)
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    first.listener.receive_failure(True, "reset")
    harness.client.sent[1].respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_data_received_before_the_stall_timer_fires_late_is_not_lost():
    """Timers run before sockets are read when a VM was busy or suspended."""
    harness = harness_module.Harness()
    first, caller = _start_stream(harness)
    harness.clock.advance(ms(3000))
    harness.scheduler.call_later(
        ms(0), lambda: first.listener.receive_data(b"id: 2\ndata: b\n\n"))
    harness.scheduler.advance(ms(10))
    assert len(harness.client.sent) == 1
    first.listener.receive_end()
    assert caller.end == "complete"


def test_silent_attempt_stays_open_until_its_successor_is_connected():
    """Opening a connection to an unreachable endpoint takes 0.4 s to fail."""
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_stream(harness)
    harness.client.is_connected = False
    harness.scheduler.advance(ms(1250))
    second = harness.client.sent[1]
    harness.scheduler.advance(ms(390))
    assert not first.is_aborted
    second.listener.receive_failure(False, "no connection in time")
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.end == "complete"


def test_silent_attempt_is_not_continued_at_an_unreachable_endpoint():
    harness = harness_module.Harness(endpoints=2)
    first, _ = _start_stream(harness)
    harness.health.record_unreachable(_find_other_endpoint(harness, first))
    harness.scheduler.advance(ms(650))
    harness.health.record_unreachable(_find_other_endpoint(harness, first))
    harness.scheduler.advance(ms(650))
    assert len(harness.client.sent) == 1
    harness.scheduler.advance(ms(1000))
    assert len(harness.client.sent) == 2


def test_silent_attempt_outlasts_a_stop_before_its_successor_is_connected():
    harness = harness_module.Harness(endpoints=2)
    first, caller = _start_stream(harness)
    harness.client.is_connected = False
    harness.scheduler.advance(ms(1200))
    second = harness.client.sent[1]
    harness.clock.advance(ms(600))
    harness.scheduler.call_later(
        ms(0), lambda: second.listener.receive_failure(False, "refused"))
    harness.scheduler.advance(ms(10))
    first.listener.receive_data(b"id: 2\ndata: b\n\n")
    first.listener.receive_end()
    assert caller.end == "complete"


def test_error_of_a_silent_continuation_leaves_its_successor():
    harness = harness_module.Harness()
    _, caller = harness.start(
        harness_module.make_stream_request(harness, max_runs=3))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    first.listener.receive_failure(True, "reset")
    harness.scheduler.advance(ms(1300))
    harness.client.sent[1].respond(404)
    harness.client.sent[2].respond(body=b"id: 2\ndata: b\n\n")
    assert caller.end == "complete"


def test_overdue_request_is_not_sent_to_another_endpoint():
    """The timer of the queue may run before the one of the deadline."""
    harness = harness_module.Harness(endpoints=2)
    harness.start(
        harness_module.make_stream_request(
            harness, expires_at=harness.clock.monotonic() + ms(2000)))
    first = harness.client.sent[0]
    load = _fill_other_endpoints(harness, first)
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    harness.scheduler.advance(ms(1500))
    harness.loads.subtract(_find_other_endpoint(harness, first), load)
    harness.clock.advance(ms(5000))
    harness.scheduler.advance(ms(100))
    assert len(harness.client.sent) == 1


def test_request_to_a_service_without_endpoints_is_refused():
    harness = harness_module.Harness(endpoints=0)
    for make_request in (harness_module.make_request,
                         harness_module.make_stream_request,
                         harness_module.make_long_request):
        _, caller = harness.start(make_request(harness))
        assert caller.status == 503


def test_queued_request_is_refused_when_the_last_endpoint_leaves():
    harness = harness_module.Harness(endpoints=1, slots=12)
    harness.loads.add("endpoint-0", dispatch.EndpointLoad(requests=200))
    _, caller = harness.start(harness_module.make_long_request(harness))
    harness.scheduler.advance(ms(100))
    harness.directory.remove_endpoint("endpoint-0")
    harness.scheduler.advance(ms(100))
    assert caller.status == 503


def _start_stream(harness):
    """Starts a stream, of which the caller gets the first event.

    Returns:
        The attempt and the caller.
    """
    _, caller = harness.start(harness_module.make_stream_request(harness))
    attempt = harness.client.sent[-1]
    attempt.begin()
    attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
    return attempt, caller


def _find_other_endpoint(harness, attempt):
    other, = {each.name for each in harness.list_usable()
             } - {attempt.endpoint.name}
    return other


def _fill_other_endpoints(harness, attempt):
    """Uses up all slots of the endpoint that is not the attempt's."""
    load = dispatch.EndpointLoad(requests=200)
    harness.loads.add(_find_other_endpoint(harness, attempt), load)
    return load


def test_stalled_at_most_once_request_is_not_aborted():
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.scheduler.advance(ms(9000))
    assert not harness.client.sent[0].is_aborted
    assert caller.status is None


def test_request_is_aborted_at_its_deadline():
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness,
        retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE,
        expires_at=harness.clock.monotonic() + ms(1200))
    _, caller = harness.start(request)
    harness.scheduler.advance(ms(1199))
    assert caller.status is None
    harness.scheduler.advance(ms(1))
    assert caller.status == 504
    assert harness.client.sent[0].is_aborted


def test_endpoint_is_told_the_time_left_until_the_deadline():
    harness = harness_module.Harness()
    request = harness_module.make_request(harness)
    harness.scheduler.advance(ms(3000))
    harness.start(request)
    assert harness.client.sent[0].time_left == ms(7000)


def test_attempt_is_aborted_when_the_caller_disconnects():
    harness = harness_module.Harness()
    forwarding, _ = harness.start()
    forwarding.handle_caller_disconnect()
    assert harness.client.sent[0].is_aborted
    assert not harness.loads.list_own_loads()


def test_removed_key_prevents_the_next_send():
    harness = harness_module.Harness()
    _, caller = harness.start()
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    harness.client.sent[0].listener.receive_failure(False, "refused")
    assert len(harness.client.sent) == 1
    assert caller.status == 401


def test_denial_after_a_run_is_not_reported_as_not_run():
    harness = harness_module.Harness()
    _, caller = harness.start()
    harness.authorizer.denial = dispatch.Refusal(503, "no proof")
    harness.client.sent[0].listener.receive_failure(True, "reset")
    assert caller.status == 502


def test_log_line_contains_inputs_and_outcome():
    harness = harness_module.Harness()
    harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].respond(body=b"data")
    event, fields = harness.journal.lines[-1]
    assert event == "request"
    assert [each["end"] for each in fields["attempts"]] == ["reset", "complete"]
    assert fields["outcome"] == "answered"
    assert (fields["version"], fields["proof_age_ms"]) == (7, 100)


def test_log_line_tells_how_a_stream_was_framed_and_where_it_ended():
    harness = harness_module.Harness()
    harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.is_close_delimited = True
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    first.listener.receive_failure(True, "reset")
    harness.client.sent[1].respond(body=b"id: 2\ndata: b\n\n")
    _, fields = harness.journal.lines[-1]
    assert [(each["close_delimited"], each["partial_event_bytes"])
            for each in fields["attempts"]] == [(True, 8), (False, 0)]


def test_log_line_names_a_bounded_number_of_shared_parts():
    harness = harness_module.Harness()
    parts = tuple(
        dispatch.PromptPart(f"{index}" * 40, 1) for index in range(12))
    harness.start(
        harness_module.make_stream_request(harness,
                                           prompt=dispatch.Prompt(parts, 12,
                                                                  1)))
    harness.client.sent[0].respond(body=b"id: 1\ndata: a\n\n")
    _, fields = harness.journal.lines[-1]
    assert fields["shared_parts"] == [f"{index}" * 32 for index in range(8)]


def test_log_line_names_the_tiers_and_the_load_known_at_the_send():
    harness = harness_module.Harness(endpoints=1, slots=12)
    harness.loads.add("endpoint-0",
                      dispatch.EndpointLoad(requests=5, prefill_tokens=700))
    harness.start(
        harness_module.make_stream_request(harness,
                                           tier=1,
                                           route_tier=0,
                                           organisation_tier=1))
    harness.client.sent[0].respond(body=b"id: 1\ndata: a\n\n")
    _, fields = harness.journal.lines[-1]
    assert (fields["tier"], fields["route_tier"],
            fields["organisation_tier"]) == (1, 0, 1)
    attempt = fields["attempts"][0]
    assert (attempt["engine_requests"], attempt["engine_prefill_tokens"],
            attempt["engine_slots"]) == (5, 700, 12)


@pytest.mark.parametrize("load, expected", [
    (dispatch.EndpointLoad(requests=12), "slots"),
    (dispatch.EndpointLoad(requests=1, held_tokens=95_000), "memory"),
    (dispatch.EndpointLoad(requests=1, prefill_tokens=14_000), "prefill"),
])
def test_log_line_names_the_limit_for_which_a_request_waited(load, expected):
    harness = harness_module.Harness(endpoints=1,
                                     slots=12,
                                     memory_tokens=100_000)
    harness.loads.add("endpoint-0", load)
    harness.start(harness_module.make_long_request(harness))
    harness.scheduler.advance(ms(400))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    harness.client.sent[0].respond(body=b"id: 1\ndata: a\n\n")
    _, fields = harness.journal.lines[-1]
    assert fields["waited_for"] == expected
    assert 400 <= fields["queued_ms"] <= 420


def test_log_line_names_the_software_and_the_resumed_stream():
    harness = harness_module.Harness(endpoints=1)
    harness.start(harness_module.make_stream_request(harness, request_id="a0"))
    harness.client.sent[0].respond(body=b"id: 4\ndata: a\n\n")
    request = harness_module.make_stream_request(harness,
                                                 last_event_id=4,
                                                 resumed_request_id="a0")
    harness.start(request)
    harness.client.sent[1].respond(body=b"id: 5\ndata: a\n\n")
    _, fields = harness.journal.lines[-1]
    assert (fields["last_event_id"], fields["resumes"]) == (4, "a0")
    attempt = fields["attempts"][0]
    assert (attempt["software"], attempt["sent_events"]) == ("v1", True)


def test_metrics_count_the_end_of_each_attempt_and_request():
    harness = harness_module.Harness()
    harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].respond(body=b"data")
    forwarding, _ = harness.start()
    forwarding.handle_caller_disconnect()
    assert harness.metrics.attempts == ["broken", "complete", "broken"]
    assert harness.metrics.requests == [("answered", 200), ("caller_gone", 0)]


def test_log_line_of_a_refusal_shows_the_load_of_the_engines():
    harness = harness_module.Harness(endpoints=1)
    harness.loads.add("endpoint-0",
                      dispatch.EndpointLoad(requests=3, prefill_tokens=14_000))
    harness.start(harness_module.make_long_request(harness))
    harness.scheduler.advance(ms(3_400))
    _, fields = harness.journal.lines[-1]
    assert fields["outcome"] == "no room"
    assert fields["engines"] == [{
        "endpoint": "endpoint-0",
        "requests": 3,
        "prefill_tokens": 14_000,
        "prefill_ms": 3_333,
        "prefill_share": 0.81,
        "takes_long_prompts": True,
    }]
