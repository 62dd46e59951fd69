"""Requests whose endpoints fail in every way."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def test_whole_answer_reaches_caller():
    harness = harness_module.Harness()
    forwarding, caller = harness.start()
    harness.client.sent[0].answer(body=b"data")
    assert (caller.status, caller.body, caller.end) == (200, b"data",
                                                        "complete")
    assert forwarding.is_done
    assert not harness.loads.list_own_loads()


def test_idempotent_request_runs_elsewhere_after_broken_answer():
    harness = harness_module.Harness()
    _, caller = harness.start()
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"da")
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.endpoint.name != first.endpoint.name
    second.answer(body=b"data")
    assert (caller.body, caller.end) == (b"data", "complete")


@pytest.mark.parametrize("sent", [True, False])
def test_request_that_may_run_once_is_repeated_only_if_unsent(sent):
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].listener.receive_failure(sent, "lost")
    assert len(harness.client.sent) == (1 if sent else 2)
    assert caller.status == (502 if sent else None)


def test_refusal_that_promises_no_run_needs_that_no_byte_was_sent():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    for attempt in (0, 1):
        harness.client.sent[attempt].listener.receive_failure(False, "refused")
    assert caller.status == 503
    assert caller.refusal.retry_after is not None


def test_unproved_promise_of_endpoint_is_not_passed_on():
    harness = harness_module.Harness(endpoints=1)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].answer(status=503, not_run=False)
    assert caller.status == 502


def test_proved_promise_leads_to_another_endpoint_then_to_refusal():
    harness = harness_module.Harness(endpoints=2)
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].answer(status=503, not_run=True)
    harness.client.sent[1].answer(status=503, not_run=True)
    assert caller.status == 503


def test_endpoints_own_failure_is_passed_on_unchanged():
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.client.sent[0].answer(status=500, body=b"reason")
    assert (caller.status, caller.body) == (500, b"reason")


def test_endpoint_that_another_replaced_gets_nothing_more():
    """Its registration lapses seconds later."""
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start()
    replaced = harness.client.sent[0].endpoint
    harness.client.sent[0].answer(status=421, not_run=True)
    harness.client.sent[1].answer(body=b"whole")
    assert caller.status == 200
    for _ in range(20):
        harness.scheduler.advance(ms(200))
        harness.start()
        assert harness.client.sent[-1].endpoint != replaced
        harness.client.sent[-1].answer(body=b"whole")


def test_endpoint_that_starts_again_under_its_id_is_used_again():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].answer(status=421, not_run=True)
    assert not harness.usable()
    harness.directory.set_endpoint(harness_module.make_endpoint(0, started=7))
    assert harness.usable()


def test_mark_of_a_replaced_endpoint_ends():
    """An endpoint without a start can't be told from the one before."""
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].answer(status=421, not_run=True)
    harness.scheduler.advance(ms(10_100))
    assert harness.usable()


@pytest.mark.parametrize("status", (404, 500))
def test_failure_too_long_to_keep_is_not_passed_on_short(status):
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


def test_success_without_the_endpoints_mark_is_not_passed_on():
    harness = harness_module.Harness(endpoints=1)
    _, caller = harness.start()
    harness.client.sent[0].answer(status=200, body=b"forged", verified=False)
    assert caller.status == 502
    assert b"forged" not in caller.body


def test_request_runs_on_no_more_endpoints_than_its_route_allows():
    harness = harness_module.Harness(endpoints=5)
    _, caller = harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    assert caller.status == 502


def test_retries_end_with_the_allowance():
    harness = harness_module.Harness(endpoints=5, spare_retries=0.0)
    repeated = 0
    for _ in range(60):
        before = len(harness.client.sent)
        harness.start(harness_module.make_request(harness, target=f"/{before}"))
        harness.client.sent[before].listener.receive_failure(True, "reset")
        repeated += len(harness.client.sent) - before - 1
    # Two are spare, and 17% of the requests may be repeated.
    assert 8 <= repeated <= 12


def test_stream_is_resumed_after_the_last_whole_event():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\nid: 2\nda")
    first.listener.receive_failure(True, "reset")
    second = harness.client.sent[1]
    assert second.resume_after == 1
    second.answer(body=b"id: 2\ndata: b\n\n")
    assert caller.body == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert caller.end == "complete"


def test_repeated_events_of_resumed_stream_are_left_out():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    first.listener.receive_failure(True, "reset")
    harness.client.sent[1].answer(body=b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
    assert caller.body.count(b"id: 1") == 1


def test_stream_that_may_run_once_breaks_off_visibly():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_long_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    first.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 1
    assert caller.end == "broken"


def test_silent_stream_is_resumed_before_its_caller_leaves():
    harness = harness_module.Harness()
    harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    harness.scheduler.advance(ms(1900))
    assert first.is_aborted
    assert harness.client.sent[1].resume_after == 1


def test_silent_request_that_may_run_once_is_left_alone():
    harness = harness_module.Harness()
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    _, caller = harness.start(request)
    harness.scheduler.advance(ms(9000))
    assert not harness.client.sent[0].is_aborted
    assert caller.status is None


def test_time_limit_ends_request_at_once():
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


def test_endpoint_is_given_the_time_that_is_left():
    harness = harness_module.Harness()
    request = harness_module.make_request(harness)
    harness.scheduler.advance(ms(3000))
    harness.start(request)
    assert harness.client.sent[0].left == ms(7000)


def test_work_ends_when_caller_leaves():
    harness = harness_module.Harness()
    forwarding, _ = harness.start()
    forwarding.handle_caller_disconnect()
    assert harness.client.sent[0].is_aborted
    assert not harness.loads.list_own_loads()


def test_key_that_was_taken_away_stops_the_next_send():
    harness = harness_module.Harness()
    _, caller = harness.start()
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    harness.client.sent[0].listener.receive_failure(False, "refused")
    assert len(harness.client.sent) == 1
    assert caller.status == 401


def test_key_taken_away_after_a_run_promises_nothing():
    harness = harness_module.Harness()
    _, caller = harness.start()
    harness.authorizer.denial = dispatch.Refusal(503, "no proof")
    harness.client.sent[0].listener.receive_failure(True, "reset")
    assert caller.status == 502


def test_line_for_the_log_names_inputs_and_outcome():
    harness = harness_module.Harness()
    harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].answer(body=b"data")
    event, fields = harness.journal.lines[-1]
    assert event == "request"
    assert [each["end"] for each in fields["attempts"]] == ["reset", "complete"]
    assert fields["outcome"] == "answered"
    assert (fields["version"], fields["proof_age_ms"]) == (7, 100)


def test_metrics_count_each_end():
    harness = harness_module.Harness()
    harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    harness.client.sent[1].answer(body=b"data")
    forwarding, _ = harness.start()
    forwarding.handle_caller_disconnect()
    assert harness.metrics.attempts == ["broken", "complete", "broken"]
    assert harness.metrics.requests == [("answered", 200), ("caller_gone", 0)]
