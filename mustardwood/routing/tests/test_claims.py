"""Requests with an idempotency key."""

import datetime

import msgspec
import pytest

from mustardwood import claims
from mustardwood import errors
from mustardwood import routing
from mustardwood.routing.tests import router_harness

_Verdict = claims.ClaimVerdict


def start(**more):
    harness = router_harness.RouterHarness()
    harness.submit_service_call(idempotency_key="k", **more)
    return harness


def claim(harness, verdict=_Verdict.ACQUIRED, answer=None, name="r1"):
    harness.execute(
        harness.router.handle_claim_result(name,
                                           claims.ClaimAnswer(verdict, answer),
                                           harness.now))


def run(harness, endpoint="s1"):
    harness.grant_last_ask(endpoint=endpoint)
    harness.send_head(status=201)
    harness.send_body(b"done")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)


def test_nothing_is_asked_before_the_claim():
    harness = start()
    assert isinstance(harness.claim_commands[0], routing.AcquireClaim)
    assert harness.router.find_phase("r1") is routing.RequestPhase.CLAIMING
    harness.advance(5)
    assert not harness.started_attempts


def test_answer_is_stored_before_it_is_passed():
    harness = start()
    claim(harness)
    run(harness)
    stored = harness.claim_commands[-1]
    assert isinstance(stored, routing.CompleteClaim)
    assert stored.answer.body == b"done"
    assert "r1" not in harness.responses
    harness.execute(harness.router.handle_claim_completed("r1"))
    assert harness.responses["r1"].status == 201


def test_answer_is_passed_after_a_bound_when_the_store_hangs():
    harness = start()
    claim(harness)
    run(harness)
    harness.advance(2.1)
    assert harness.responses["r1"].body == b"done"


def test_end_of_a_stream_waits_for_the_store():
    harness = router_harness.RouterHarness()
    harness.submit_completion(idempotency_key="k")
    claim(harness)
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
def test_claim_not_acquired_is_answered_truthfully(verdict, code, ran):
    harness = start()
    claim(harness, verdict)
    assert harness.errors["r1"].request_code is code
    assert harness.errors["r1"].ran == ran
    assert not harness.started_attempts
    assert len(harness.claim_commands) == 1


def test_stored_answer_is_replayed():
    harness = start()
    stored = claims.StoredAnswer(status=201,
                                 headers=(("x-own", "1"),),
                                 body=b"done",
                                 content_type="text/plain")
    claim(harness, _Verdict.COMPLETED, stored)
    answer = harness.responses["r1"]
    assert (answer.status, answer.body) == (201, b"done")
    assert ("x-idempotent-replay", "1") in answer.headers
    assert not harness.started_attempts


def test_completed_claim_without_its_answer_is_told_truthfully():
    harness = start()
    claim(harness, _Verdict.COMPLETED)
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
    claim(
        harness, _Verdict.COMPLETED,
        claims.StoredAnswer(status=200,
                            headers=(),
                            body=body,
                            content_type="application/json"))
    assert harness.read_text() == "ab"
    assert harness.stream_data["r1"].endswith(b"data: [DONE]\n\n")
    assert b'"prompt_tokens":1' in harness.stream_data["r1"]


def test_second_arrival_joins_the_running_answer():
    harness = router_harness.RouterHarness()
    harness.submit_completion(idempotency_key="k", fingerprint="f")
    claim(harness)
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


def test_second_arrival_with_another_body_is_refused():
    harness = start(fingerprint="f")
    harness.submit_service_call("r2", idempotency_key="k", fingerprint="g")
    assert harness.errors["r2"].request_code is errors.RequestCode.KEY_REUSED


def test_claimed_work_goes_on_when_the_caller_goes_away():
    harness = start()
    claim(harness)
    harness.grant_last_ask(endpoint="s1")
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert not harness.cancelled_attempts
    harness.send_head()
    harness.send_body(b"done")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)
    assert isinstance(harness.claim_commands[-1], routing.CompleteClaim)


def test_claim_is_released_only_when_nothing_was_sent():
    harness = start()
    claim(harness)
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
    other = start()
    claim(other)
    other.grant_last_ask(endpoint="s1")
    other.end_exchange(routing.AttemptEnd.LOST)
    assert isinstance(other.claim_commands[-1], routing.MarkClaimUnknown)
    assert other.errors["r1"].ran is errors.RunState.OUTCOME_UNKNOWN
    assert len(other.started_attempts) == 1


def test_claim_acquired_after_the_caller_went_away_is_released():
    harness = start()
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    claim(harness)
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
    assert not harness.started_attempts


def test_claimed_call_is_not_sent_on_a_grant_after_its_deadline():
    harness = start()
    claim(harness)
    harness.clock.advance(datetime.timedelta(seconds=61))
    harness.grant_last_ask(endpoint="s1")
    assert not harness.started_attempts
    assert harness.errors["r1"].request_code == "deadline_exceeded"
    assert harness.errors["r1"].ran is errors.RunState.NOT_RUN
    assert isinstance(harness.claim_commands[-1], routing.ReleaseClaim)
