"""Tests of requests with an idempotency key."""

import datetime

import msgspec
import pytest

from mustardwood import claims
from mustardwood import errors
from mustardwood import routing
from mustardwood.routing.tests import router_harness

_Verdict = claims.ClaimVerdict


def start_claimed_call(**overrides):
    harness = router_harness.RouterHarness()
    harness.submit_service_call(idempotency_key="k", **overrides)
    return harness


def deliver_claim_result(harness,
                         verdict=_Verdict.ACQUIRED,
                         answer=None,
                         name="r1"):
    harness.execute(
        harness.router.handle_claim_result(name,
                                           claims.ClaimResult(verdict, answer),
                                           harness.now))


def run_attempt(harness, endpoint="s1"):
    harness.grant_last_ask(endpoint=endpoint)
    harness.send_head(status=201)
    harness.send_body(b"done")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)


def test_nothing_is_sent_before_claim_is_acquired():
    harness = start_claimed_call()
    assert isinstance(harness.claim_commands[0], routing.AcquireClaim)
    assert harness.router.find_phase("r1") is routing.RequestPhase.CLAIMING
    harness.advance(5)
    assert not harness.started_attempts


def test_response_is_stored_before_it_is_sent():
    harness = start_claimed_call()
    deliver_claim_result(harness)
    run_attempt(harness)
    stored = harness.claim_commands[-1]
    assert isinstance(stored, routing.CompleteClaim)
    assert stored.answer.body == b"done"
    assert "r1" not in harness.responses
    harness.execute(harness.router.handle_claim_completed("r1"))
    assert harness.responses["r1"].status == 201


def test_response_is_sent_after_timeout_if_claim_store_hangs():
    harness = start_claimed_call()
    deliver_claim_result(harness)
    run_attempt(harness)
    harness.advance(2.1)
    assert harness.responses["r1"].body == b"done"


def test_end_of_stream_waits_for_claim_store():
    harness = router_harness.RouterHarness()
    harness.submit_completion(idempotency_key="k")
    deliver_claim_result(harness)
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.finish_stream("b")
    assert harness.read_text() == "a"
    harness.execute(harness.router.handle_claim_completed("r1"))
    assert harness.read_text() == "ab"
    assert harness.ended_streams == ["r1"]


@pytest.mark.parametrize("verdict, code, ran", [
    (_Verdict.IN_PROGRESS, errors.RequestCode.IN_PROGRESS, "outcome_unknown"),
    (_Verdict.OUTCOME_UNKNOWN, errors.RequestCode.OUTCOME_UNKNOWN,
     "outcome_unknown"),
    (_Verdict.KEY_REUSED, errors.RequestCode.KEY_REUSED, "not_run"),
    (_Verdict.UNAVAILABLE, errors.RequestCode.CLAIM_UNAVAILABLE, "not_run"),
])
def test_claim_not_acquired_gives_error_with_run_state(verdict, code, ran):
    harness = start_claimed_call()
    deliver_claim_result(harness, verdict)
    assert harness.errors["r1"].request_code is code
    assert harness.errors["r1"].ran == ran
    assert not harness.started_attempts
    assert len(harness.claim_commands) == 1


def test_stored_response_is_replayed():
    harness = start_claimed_call()
    stored = claims.StoredResponse(status=201,
                                   headers=(("x-own", "1"),),
                                   body=b"done",
                                   content_type="text/plain")
    deliver_claim_result(harness, _Verdict.COMPLETED, stored)
    answer = harness.responses["r1"]
    assert (answer.status, answer.body) == (201, b"done")
    assert ("x-idempotent-replay", "1") in answer.headers
    assert not harness.started_attempts


def test_completed_claim_without_response_gives_outcome_unknown():
    harness = start_claimed_call()
    deliver_claim_result(harness, _Verdict.COMPLETED)
    error = harness.errors["r1"]
    assert error.request_code is errors.RequestCode.OUTCOME_UNKNOWN
    assert error.ran is errors.RunState.OUTCOME_UNKNOWN


def test_stored_completion_is_replayed_as_a_stream():
    harness = router_harness.RouterHarness()
    harness.submit_completion(idempotency_key="k", include_usage=True)
    body = msgspec.json.encode({
        "id": "r0",
        "object": "text_completion",
        "choices": [{
            "index": 0,
            "text": "ab",
            "finish_reason": "stop"
        }],
        "usage": {
            "prompt_tokens": 1
        }
    })
    deliver_claim_result(
        harness, _Verdict.COMPLETED,
        claims.StoredResponse(status=200,
                              headers=(),
                              body=body,
                              content_type="application/json"))
    assert harness.read_text() == "ab"
    assert harness.stream_data["r1"].endswith(b"data: [DONE]\n\n")
    assert b'"prompt_tokens":1' in harness.stream_data["r1"]


def test_second_request_with_same_key_joins_running_request():
    harness = router_harness.RouterHarness()
    harness.submit_completion(idempotency_key="k", fingerprint="f")
    deliver_claim_result(harness)
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.submit_completion("r2", idempotency_key="k", fingerprint="f")
    harness.send_token("b")
    harness.finish_stream("c")
    harness.execute(harness.router.handle_claim_completed("r1"))
    assert harness.read_text("r1") == harness.read_text("r2") == "abc"
    assert len(harness.started_attempts) == 1
    assert len(harness.claim_commands) == 2


def test_second_request_with_same_key_and_other_body_is_refused():
    harness = start_claimed_call(fingerprint="f")
    harness.submit_service_call("r2", idempotency_key="k", fingerprint="g")
    assert harness.errors["r2"].request_code is errors.RequestCode.KEY_REUSED


def test_claimed_request_continues_after_caller_disconnect():
    harness = start_claimed_call()
    deliver_claim_result(harness)
    harness.grant_last_ask(endpoint="s1")
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert not harness.cancelled_attempts
    harness.send_head()
    harness.send_body(b"done")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)
    assert isinstance(harness.claim_commands[-1], routing.CompleteClaim)


def test_claim_is_released_only_if_nothing_was_sent():
    harness = start_claimed_call()
    deliver_claim_result(harness)
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
    other = start_claimed_call()
    deliver_claim_result(other)
    other.grant_last_ask(endpoint="s1")
    other.end_exchange(routing.AttemptEnd.LOST)
    assert isinstance(other.claim_commands[-1], routing.MarkClaimUnknown)
    assert other.errors["r1"].ran is errors.RunState.OUTCOME_UNKNOWN
    assert len(other.started_attempts) == 1


def test_claim_acquired_after_caller_disconnect_is_released():
    harness = start_claimed_call()
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    deliver_claim_result(harness)
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
    assert not harness.started_attempts


def test_grant_after_deadline_does_not_start_claimed_call():
    harness = start_claimed_call()
    deliver_claim_result(harness)
    harness.clock.advance(datetime.timedelta(seconds=61))
    harness.grant_last_ask(endpoint="s1")
    assert not harness.started_attempts
    assert harness.errors["r1"].request_code == "deadline_exceeded"
    assert harness.errors["r1"].ran is errors.RunState.NOT_RUN
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
