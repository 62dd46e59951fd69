"""Whole, own answers: crossed, cut, silent and resumed streams."""

import msgspec
import pytest

from mustardwood import errors
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import world as world_module

_LOST = routing.AttemptEnd.LOST
_COMPLETE = routing.AttemptEnd.COMPLETE
_UNKNOWN = errors.RunState.OUTCOME_UNKNOWN
_NOT_RUN = errors.RunState.NOT_RUN


def start(**more):
    world = world_module.World()
    world.ask(**more)
    world.grant()
    world.head()
    return world


def test_passes_a_whole_stream():
    world = start(include_usage=True)
    world.token("a")
    world.finish("b")
    assert world.text() == "ab"
    assert world.ended == ["r1"]
    assert world.passed["r1"].endswith(b"data: [DONE]\n\n")
    assert b'"completion_tokens":2' in world.passed["r1"]
    assert b'"id":"r1"' in world.passed["r1"]
    report = world.last(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.WHOLE
    assert world.router.open_requests == 0


def test_collects_an_answer_that_is_not_streamed():
    world = start(stream=False)
    world.token("a")
    world.finish("b")
    body = msgspec.json.decode(world.answers["r1"].body)
    assert body["choices"][0]["text"] == "ab"
    assert not world.passed


def test_event_of_another_attempt_is_not_passed_on():
    world = start()
    world.token("a")
    world.token("foreign", event_id="r9.1.00000000")
    assert world.text() == "a"
    assert world.cancelled == [("r1", 1)]
    world.retry()
    world.head()
    world.finish("b")
    assert world.text() == "ab"


@pytest.mark.parametrize("cut", range(5))
@pytest.mark.parametrize("end", [_LOST, _COMPLETE])
def test_cut_stream_is_resumed_elsewhere(cut, end):
    words = ["v", "l", "t", "a", "va"]
    world = start()
    for word in words[:cut]:
        world.token(word)
    world.end(end)
    assert not world.ended
    world.retry()
    resumed = msgspec.json.decode(world.started[-1].body)
    if cut:
        assert resumed["resume_from"] == {
            "text": "".join(words[:cut]),
            "tokens": cut
        }
    else:
        assert "resume_from" not in resumed
    world.head()
    for word in words[cut:-1]:
        world.token(word)
    world.finish(words[-1])
    assert world.text() == "".join(words)
    assert world.started[-1].endpoint.name == "e2"


def test_finish_without_end_mark_is_not_whole():
    world = start()
    world.token("a")
    world.token("b", reason="stop")
    world.end(_COMPLETE)
    assert not world.ended
    world.retry()
    world.head()
    world.finish("b")
    assert world.text() == "ab"


def test_text_after_the_finish_breaks_the_attempt():
    world = start()
    world.token("a", reason="stop")
    world.token("b")
    assert world.cancelled == [("r1", 1)]
    assert not world.ended


def test_end_mark_without_finish_is_not_whole():
    world = start()
    world.token("a")
    world.data(b"[DONE]")
    assert not world.ended
    assert world.router.open_requests == 1


def test_engine_that_cannot_resume_gives_an_honest_error():
    world = start()
    world.token("a")
    world.end(_LOST)
    world.retry()
    world.head(status=409)
    world.end(_COMPLETE)
    assert (world.errors["r1"].request_code
            is errors.RequestCode.INCOMPLETE_ANSWER)
    assert world.errors["r1"].ran is _UNKNOWN
    assert b"[DONE]" not in world.passed["r1"]


def test_engine_that_cannot_resume_runs_afresh_when_nothing_was_passed():
    world = start(stream=False)
    world.token("a")
    world.end(_LOST)
    world.retry()
    world.head(status=409)
    world.end(_COMPLETE)
    world.retry(endpoint="e3")
    assert b"resume_from" not in world.started[-1].body
    world.head()
    world.finish("xy")
    body = msgspec.json.decode(world.answers["r1"].body)
    assert body["choices"][0]["text"] == "xy"


def test_silent_stream_is_broken():
    world = start()
    world.token("a")
    world.wait(10.2)
    report = world.last(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.TIMED_OUT
    assert world.cancelled == [("r1", 1)]


def test_late_parts_of_an_ended_attempt_are_ignored():
    world = start()
    first = world.started[0]
    world.token("a")
    world.end(_LOST)
    world.retry()
    world.head()
    world.token("late", first)
    world.finish("b")
    assert world.text() == "ab"


def test_caller_that_goes_away_cancels_its_work():
    world = start()
    world.token("a")
    world.run(world.router.handle_caller_disconnect("r1"))
    assert world.cancelled == [("r1", 1)]
    report = world.last(messages.AttemptReport)[1]
    assert report.outcome is messages.Outcome.CANCELLED
    assert world.router.open_requests == 0


def test_caller_that_goes_away_withdraws_its_ask():
    world = world_module.World()
    world.ask()
    world.run(world.router.handle_caller_disconnect("r1"))
    assert world.last(messages.Withdrawal)[1].request_id == "r1"


@pytest.mark.parametrize("end, status, headers, ran", [
    (routing.AttemptEnd.NOT_SENT, 0, (), _NOT_RUN),
    (_COMPLETE, 503, (("x-not-started", "1"),), _NOT_RUN),
    (_COMPLETE, 429, (("x-not-started", "1"),), _NOT_RUN),
    (_LOST, 0, (), _UNKNOWN),
    (_LOST, 200, (), _UNKNOWN),
    (routing.AttemptEnd.MALFORMED, 0, (), _UNKNOWN),
])
def test_not_run_is_true(end, status, headers, ran):
    world = world_module.World()
    world.call()
    for endpoint in ("s1", "s2"):
        if world.errors:
            break
        world.retry(endpoint=endpoint)
        if status:
            world.head(status=status, headers=headers)
        world.end(end)
    if not world.errors:
        world.retry_refused()
    assert world.errors["r1"].ran is ran
    assert len(world.started) == (1 if ran is _UNKNOWN else 2)


def test_run_state_is_remembered_across_attempts():
    world = start()
    world.end(_LOST)
    world.retry()
    world.end(routing.AttemptEnd.NOT_SENT)
    world.retry_refused()
    assert world.errors["r1"].ran is _UNKNOWN


def test_deadline_is_answered_at_once():
    world = world_module.World()
    world.ask()
    owner, ask = world.last(messages.Ask)
    for _ in range(61):
        world.wait(1)
        world.deliver(messages.OpenWorkReply(ask.cell, 1, ask.waited), owner)
    error = world.errors["r1"]
    assert error.request_code is errors.RequestCode.DEADLINE_EXCEEDED
    assert error.ran is _NOT_RUN
    assert error.retry_after is not None


def test_retry_budget_bounds_retries():
    world = world_module.World(world_module.make_document(endpoints=16))
    failed = 0
    for number in range(200):
        name = f"r{number}"
        world.ask(name)
        world.grant(name)
        world.end(_LOST)
        failed += name in world.errors
    assert 200 - failed <= 32 + 200 // 10


def test_service_answer_passes_unchanged():
    world = world_module.World()
    world.call()
    world.grant(endpoint="s1")
    world.head(status=404, headers=(("x-own", "1"), ("content-type", "a/b")))
    world.body(b"not ")
    world.body(b"here")
    world.end(_COMPLETE)
    answer = world.answers["r1"]
    assert (answer.status, answer.body) == (404, b"not here")
    assert answer.headers == (("x-own", "1"), ("content-type", "a/b"))


def _send_counted(world, tokens, reported):
    """Sends an answer of numbered tokens, and the engine's count of them."""
    attempt = world.started[-1]
    world.head()
    for number in range(tokens):
        world.data(
            msgspec.json.encode({
                "id": attempt.attempt_id,
                "tokens": 1,
                "choices": [{
                    "text": f"{number} "
                }]
            }))
    world.data(
        msgspec.json.encode({
            "id": attempt.attempt_id,
            "tokens": 0,
            "choices": [{
                "text": "",
                "finish_reason": "stop"
            }]
        }))
    world.data(
        msgspec.json.encode({
            "id": attempt.attempt_id,
            "choices": [],
            "usage": {
                "prompt_tokens": 1,
                "completion_tokens": reported
            }
        }))
    world.data(b"[DONE]")


@pytest.mark.parametrize("reported", [2, 4])
def test_answer_that_differs_from_the_engines_count_is_not_whole(reported):
    world = world_module.World()
    world.ask()
    world.grant()
    _send_counted(world, 3, reported)
    assert world.errors["r1"].request_code == "incomplete_answer"
    assert b"[DONE]" not in world.passed["r1"]
    assert b"stop" not in world.passed["r1"]


def test_unstreamed_answer_that_differs_is_run_afresh():
    world = world_module.World()
    world.ask(stream=False)
    world.grant()
    _send_counted(world, 3, 2)
    world.retry()
    assert b"resume_from" not in world.started[-1].body
    _send_counted(world, 2, 2)
    assert b'"0 1 "' in world.answers["r1"].body
