"""Requests with an idempotency key."""

import datetime

import msgspec
import pytest

from mustardwood import claims
from mustardwood import errors
from mustardwood import routing
from mustardwood.routing.tests import world as world_module

_Verdict = claims.ClaimVerdict


def start(**more):
    world = world_module.World()
    world.call(idempotency_key="k", **more)
    return world


def claim(world, verdict=_Verdict.ACQUIRED, answer=None, name="r1"):
    world.run(
        world.router.handle_claim_answer(name,
                                         claims.ClaimResult(verdict, answer),
                                         world.now))


def run(world, endpoint="s1"):
    world.grant(endpoint=endpoint)
    world.head(status=201)
    world.body(b"done")
    world.end(routing.AttemptEnd.COMPLETE)


def test_nothing_is_asked_before_the_claim():
    world = start()
    assert isinstance(world.claims[0], routing.AcquireClaim)
    assert world.router.find_phase("r1") is routing.RequestPhase.CLAIMING
    world.wait(5)
    assert not world.started


def test_answer_is_stored_before_it_is_passed():
    world = start()
    claim(world)
    run(world)
    stored = world.claims[-1]
    assert isinstance(stored, routing.CompleteClaim)
    assert stored.answer.body == b"done"
    assert "r1" not in world.answers
    world.run(world.router.handle_claim_completed("r1"))
    assert world.answers["r1"].status == 201


def test_answer_is_passed_after_a_bound_when_the_store_hangs():
    world = start()
    claim(world)
    run(world)
    world.wait(2.1)
    assert world.answers["r1"].body == b"done"


def test_end_of_a_stream_waits_for_the_store():
    world = world_module.World()
    world.ask(idempotency_key="k")
    claim(world)
    world.grant()
    world.head()
    world.token("a")
    world.finish("b")
    assert world.text() == "a"
    world.run(world.router.handle_claim_completed("r1"))
    assert world.text() == "ab"
    assert world.ended == ["r1"]


@pytest.mark.parametrize("verdict, code, ran", [
    (_Verdict.IN_PROGRESS, errors.RequestCode.IN_PROGRESS, "outcome_unknown"),
    (_Verdict.OUTCOME_UNKNOWN, errors.RequestCode.OUTCOME_UNKNOWN,
     "outcome_unknown"),
    (_Verdict.KEY_REUSED, errors.RequestCode.KEY_REUSED, "not_run"),
    (_Verdict.UNAVAILABLE, errors.RequestCode.CLAIM_UNAVAILABLE, "not_run"),
])
def test_claim_not_acquired_is_answered_truthfully(verdict, code, ran):
    world = start()
    claim(world, verdict)
    assert world.errors["r1"].request_code is code
    assert world.errors["r1"].ran == ran
    assert not world.started
    assert len(world.claims) == 1


def test_stored_answer_is_replayed():
    world = start()
    stored = claims.StoredResponse(status=201,
                                   headers=(("x-own", "1"),),
                                   body=b"done",
                                   content_type="text/plain")
    claim(world, _Verdict.COMPLETED, stored)
    answer = world.answers["r1"]
    assert (answer.status, answer.body) == (201, b"done")
    assert ("x-idempotent-replay", "1") in answer.headers
    assert not world.started


def test_completed_claim_without_its_answer_is_told_truthfully():
    world = start()
    claim(world, _Verdict.COMPLETED)
    error = world.errors["r1"]
    assert error.request_code is errors.RequestCode.OUTCOME_UNKNOWN
    assert error.ran is errors.RunState.OUTCOME_UNKNOWN


def test_stored_completion_is_replayed_as_a_stream():
    world = world_module.World()
    world.ask(idempotency_key="k", include_usage=True)
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
        world, _Verdict.COMPLETED,
        claims.StoredResponse(status=200,
                              headers=(),
                              body=body,
                              content_type="application/json"))
    assert world.text() == "ab"
    assert world.passed["r1"].endswith(b"data: [DONE]\n\n")
    assert b'"prompt_tokens":1' in world.passed["r1"]


def test_second_arrival_joins_the_running_answer():
    world = world_module.World()
    world.ask(idempotency_key="k", fingerprint="f")
    claim(world)
    world.grant()
    world.head()
    world.token("a")
    world.ask("r2", idempotency_key="k", fingerprint="f")
    world.token("b")
    world.finish("c")
    world.run(world.router.handle_claim_completed("r1"))
    assert world.text("r1") == world.text("r2") == "abc"
    assert len(world.started) == 1
    assert len(world.claims) == 2


def test_second_arrival_with_another_body_is_refused():
    world = start(fingerprint="f")
    world.call("r2", idempotency_key="k", fingerprint="g")
    assert world.errors["r2"].request_code is errors.RequestCode.KEY_REUSED


def test_claimed_work_goes_on_when_the_caller_goes_away():
    world = start()
    claim(world)
    world.grant(endpoint="s1")
    world.run(world.router.handle_caller_disconnect("r1"))
    assert not world.cancelled
    world.head()
    world.body(b"done")
    world.end(routing.AttemptEnd.COMPLETE)
    assert isinstance(world.claims[-1], routing.CompleteClaim)


def test_claim_is_released_only_when_nothing_was_sent():
    world = start()
    claim(world)
    world.run(world.router.handle_caller_disconnect("r1"))
    assert isinstance(world.claims[-1], routing.ReleaseClaim)
    other = start()
    claim(other)
    other.grant(endpoint="s1")
    other.end(routing.AttemptEnd.LOST)
    assert isinstance(other.claims[-1], routing.MarkClaimUnknown)
    assert other.errors["r1"].ran is errors.RunState.OUTCOME_UNKNOWN
    assert len(other.started) == 1


def test_claim_acquired_after_the_caller_went_away_is_released():
    world = start()
    world.run(world.router.handle_caller_disconnect("r1"))
    claim(world)
    assert isinstance(world.claims[-1], routing.ReleaseClaim)
    assert not world.started


def test_claimed_call_is_not_sent_on_a_grant_after_its_deadline():
    world = start()
    claim(world)
    world.clock.advance(datetime.timedelta(seconds=61))
    world.grant(endpoint="s1")
    assert not world.started
    assert world.errors["r1"].request_code == "deadline_exceeded"
    assert world.errors["r1"].ran is errors.RunState.NOT_RUN
    assert isinstance(world.claims[-1], routing.ReleaseClaim)
