"""Whole, own answers: crossed, cut, silent and resumed streams."""

import msgspec
import pytest

from mustardwood import errors
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import router_harness

_LOST = routing.AttemptEnd.LOST
_COMPLETE = routing.AttemptEnd.COMPLETE
_UNKNOWN = errors.RunState.OUTCOME_UNKNOWN
_NOT_RUN = errors.RunState.NOT_RUN


def start(**more):
    harness = router_harness.RouterHarness()
    harness.submit_completion(**more)
    harness.grant_last_ask()
    harness.send_head()
    return harness


def test_passes_a_whole_stream():
    harness = start(include_usage=True)
    harness.send_token("a")
    harness.finish_stream("b")
    assert harness.read_text() == "ab"
    assert harness.ended_streams == ["r1"]
    assert harness.stream_data["r1"].endswith(b"data: [DONE]\n\n")
    assert b'"completion_tokens":2' in harness.stream_data["r1"]
    assert b'"id":"r1"' in harness.stream_data["r1"]
    report = harness.find_last_message(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.WHOLE
    assert harness.router.open_requests == 0


def test_collects_an_answer_that_is_not_streamed():
    harness = start(stream=False)
    harness.send_token("a")
    harness.finish_stream("b")
    body = msgspec.json.decode(harness.responses["r1"].body)
    assert body["choices"][0]["text"] == "ab"
    assert not harness.stream_data


def test_event_of_another_attempt_is_not_passed_on():
    harness = start()
    harness.send_token("a")
    harness.send_token("foreign", event_id="r9.1.00000000")
    assert harness.read_text() == "a"
    assert harness.cancelled_attempts == [("r1", 1)]
    harness.grant_retry()
    harness.send_head()
    harness.finish_stream("b")
    assert harness.read_text() == "ab"


@pytest.mark.parametrize("cut", range(5))
@pytest.mark.parametrize("end", [_LOST, _COMPLETE])
def test_cut_stream_is_resumed_elsewhere(cut, end):
    words = ["v", "l", "t", "a", "va"]
    harness = start()
    for word in words[:cut]:
        harness.send_token(word)
    harness.end_exchange(end)
    assert not harness.ended_streams
    harness.grant_retry()
    resumed = msgspec.json.decode(harness.started_attempts[-1].body)
    if cut:
        assert resumed["resume_from"] == {
            "text": "".join(words[:cut]),
            "tokens": cut
        }
    else:
        assert "resume_from" not in resumed
    harness.send_head()
    for word in words[cut:-1]:
        harness.send_token(word)
    harness.finish_stream(words[-1])
    assert harness.read_text() == "".join(words)
    assert harness.started_attempts[-1].endpoint.name == "e2"


def test_finish_without_end_mark_is_not_whole():
    harness = start()
    harness.send_token("a")
    harness.send_token("b", reason="stop")
    harness.end_exchange(_COMPLETE)
    assert not harness.ended_streams
    harness.grant_retry()
    harness.send_head()
    harness.finish_stream("b")
    assert harness.read_text() == "ab"


def test_text_after_the_finish_breaks_the_attempt():
    harness = start()
    harness.send_token("a", reason="stop")
    harness.send_token("b")
    assert harness.cancelled_attempts == [("r1", 1)]
    assert not harness.ended_streams


def test_end_mark_without_finish_is_not_whole():
    harness = start()
    harness.send_token("a")
    harness.send_event_data(b"[DONE]")
    assert not harness.ended_streams
    assert harness.router.open_requests == 1


def test_engine_that_cannot_resume_gives_an_honest_error():
    harness = start()
    harness.send_token("a")
    harness.end_exchange(_LOST)
    harness.grant_retry()
    harness.send_head(status=409)
    harness.end_exchange(_COMPLETE)
    assert (harness.errors["r1"].request_code
            is errors.RequestCode.INCOMPLETE_ANSWER)
    assert harness.errors["r1"].ran is _UNKNOWN
    assert b"[DONE]" not in harness.stream_data["r1"]


def test_engine_that_cannot_resume_runs_afresh_when_nothing_was_passed():
    harness = start(stream=False)
    harness.send_token("a")
    harness.end_exchange(_LOST)
    harness.grant_retry()
    harness.send_head(status=409)
    harness.end_exchange(_COMPLETE)
    harness.grant_retry(endpoint="e3")
    assert b"resume_from" not in harness.started_attempts[-1].body
    harness.send_head()
    harness.finish_stream("xy")
    body = msgspec.json.decode(harness.responses["r1"].body)
    assert body["choices"][0]["text"] == "xy"


def test_silent_stream_is_broken():
    harness = start()
    harness.send_token("a")
    harness.advance(10.2)
    report = harness.find_last_message(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.TIMED_OUT
    assert harness.cancelled_attempts == [("r1", 1)]


def test_late_parts_of_an_ended_attempt_are_ignored():
    harness = start()
    first = harness.started_attempts[0]
    harness.send_token("a")
    harness.end_exchange(_LOST)
    harness.grant_retry()
    harness.send_head()
    harness.send_token("late", first)
    harness.finish_stream("b")
    assert harness.read_text() == "ab"


def test_caller_that_goes_away_cancels_its_work():
    harness = start()
    harness.send_token("a")
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert harness.cancelled_attempts == [("r1", 1)]
    report = harness.find_last_message(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.CANCELLED
    assert harness.router.open_requests == 0


def test_caller_that_goes_away_withdraws_its_ask():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert harness.find_last_message(messages.Withdrawal)[1].request_id == "r1"


@pytest.mark.parametrize("end, status, headers, ran", [
    (routing.AttemptEnd.NOT_SENT, 0, (), _NOT_RUN),
    (_COMPLETE, 503, (("x-not-started", "1"),), _NOT_RUN),
    (_COMPLETE, 429, (("x-not-started", "1"),), _NOT_RUN),
    (_LOST, 0, (), _UNKNOWN),
    (_LOST, 200, (), _UNKNOWN),
    (routing.AttemptEnd.MALFORMED, 0, (), _UNKNOWN),
])
def test_not_run_is_true(end, status, headers, ran):
    harness = router_harness.RouterHarness()
    harness.submit_service_call()
    for endpoint in ("s1", "s2"):
        if harness.errors:
            break
        harness.grant_retry(endpoint=endpoint)
        if status:
            harness.send_head(status=status, headers=headers)
        harness.end_exchange(end)
    if not harness.errors:
        harness.refuse_retry()
    assert harness.errors["r1"].ran is ran
    assert len(harness.started_attempts) == (1 if ran is _UNKNOWN else 2)


def test_run_state_is_remembered_across_attempts():
    harness = start()
    harness.end_exchange(_LOST)
    harness.grant_retry()
    harness.end_exchange(routing.AttemptEnd.NOT_SENT)
    harness.refuse_retry()
    assert harness.errors["r1"].ran is _UNKNOWN


def test_deadline_is_answered_at_once():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    owner, ask = harness.find_last_message(messages.Ask)
    for _ in range(61):
        harness.advance(1)
        harness.deliver(messages.OpenWorkReply(ask.cell, 1, ask.waited), owner)
    error = harness.errors["r1"]
    assert error.request_code is errors.RequestCode.DEADLINE_EXCEEDED
    assert error.ran is _NOT_RUN
    assert error.retry_after is not None


def test_retry_budget_bounds_retries():
    harness = router_harness.RouterHarness(
        router_harness.make_document(endpoints=16))
    failed = 0
    for number in range(200):
        name = f"r{number}"
        harness.submit_completion(name)
        harness.grant_last_ask(name)
        harness.end_exchange(_LOST)
        failed += name in harness.errors
    assert 200 - failed <= 32 + 200 // 10


def test_service_answer_passes_unchanged():
    harness = router_harness.RouterHarness()
    harness.submit_service_call()
    harness.grant_last_ask(endpoint="s1")
    harness.send_head(status=404,
                      headers=(("x-own", "1"), ("content-type", "a/b")))
    harness.send_body(b"not ")
    harness.send_body(b"here")
    harness.end_exchange(_COMPLETE)
    answer = harness.responses["r1"]
    assert (answer.status, answer.body) == (404, b"not here")
    assert answer.headers == (("x-own", "1"), ("content-type", "a/b"))


def _send_counted(harness, tokens, reported):
    """Sends an answer of numbered tokens, and the engine's count of them."""
    attempt = harness.started_attempts[-1]
    harness.send_head()
    for number in range(tokens):
        harness.send_event_data(
            msgspec.json.encode({
                "id": attempt.attempt_id,
                "tokens": 1,
                "choices": [{
                    "text": f"{number} "
                }]
            }))
    harness.send_event_data(
        msgspec.json.encode({
            "id": attempt.attempt_id,
            "tokens": 0,
            "choices": [{
                "text": "",
                "finish_reason": "stop"
            }]
        }))
    harness.send_event_data(
        msgspec.json.encode({
            "id": attempt.attempt_id,
            "choices": [],
            "usage": {
                "prompt_tokens": 1,
                "completion_tokens": reported
            }
        }))
    harness.send_event_data(b"[DONE]")


@pytest.mark.parametrize("reported", [2, 4])
def test_answer_that_differs_from_the_engines_count_is_not_whole(reported):
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    _send_counted(harness, 3, reported)
    assert harness.errors["r1"].request_code == "incomplete_answer"
    assert b"[DONE]" not in harness.stream_data["r1"]
    assert b"stop" not in harness.stream_data["r1"]


def test_unstreamed_answer_that_differs_is_run_afresh():
    harness = router_harness.RouterHarness()
    harness.submit_completion(stream=False)
    harness.grant_last_ask()
    _send_counted(harness, 3, 2)
    harness.grant_retry()
    assert b"resume_from" not in harness.started_attempts[-1].body
    _send_counted(harness, 2, 2)
    assert b'"0 1 "' in harness.responses["r1"].body
