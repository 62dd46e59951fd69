"""Tests of prompts of which one part crashes every engine that runs them."""

import itertools

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_MAX_CRASHES = 5
"""Number of crashes after which no more such requests should be sent."""


def _make_request(harness, *keys, **changes):
    """Returns a stream that may run only once, with the given parts."""
    _make_request.count = getattr(_make_request, "count", 0) + 1
    parts = tuple(
        dispatch.PromptPart(key, 100)
        for key in (*keys, f"own-{_make_request.count}"))
    fields = {
        "request_id": f"request-{_make_request.count}",
        "retry_policy": dispatch.RetryPolicy.AT_MOST_ONCE,
        "max_runs": 1,
        "prompt": dispatch.Prompt(parts, 100 * len(parts), 40),
        "body": b"%d" % _make_request.count,
    }
    return harness_module.make_stream_request(harness, **{**fields, **changes})


def _send(harness, request):
    """Returns the caller and the attempt; None if it was not sent."""
    known = len(harness.client.sent)
    _, caller = harness.start(request)
    sent = harness.client.sent[known:]
    return caller, sent[0] if sent else None


def _crash(harness, *keys, has_head=True, **changes):
    """Lets the engine of a request crash as it begins to write.

    Returns:
        The caller, and whether the request was sent.
    """
    caller, attempt = _send(harness, _make_request(harness, *keys, **changes))
    if attempt is not None:
        if has_head:
            attempt.begin()
        attempt.listener.receive_failure(True, "connection closed")
        _restart(harness, attempt.endpoint)
    harness.scheduler.advance(ms(600))
    return caller, attempt is not None


def _restart(harness, endpoint):
    index = int(endpoint.name.rpartition("-")[2])
    harness.directory.set_endpoint(
        harness_module.make_endpoint(index, started=endpoint.started + 1))


def _serve(harness, *keys):
    """Serves a request; returns whether it was sent."""
    caller, attempt = _send(harness, _make_request(harness, *keys))
    if attempt is None:
        return False
    attempt.respond(body=b"id: 1\ndata: a\n\n")
    assert caller.end == "complete"
    return True


@pytest.mark.parametrize("endpoints", [2, 12])
def test_requests_with_a_part_that_crashes_engines_are_no_longer_sent(
        endpoints):
    """Several crashes may hit one engine, which restarts under its name."""
    harness = harness_module.Harness(endpoints=endpoints)
    sent = 0
    for _ in range(20):
        sent += _crash(harness, "common", "subject", "bad")[1]
        assert _serve(harness, "common", "other")
    assert sent <= _MAX_CRASHES


def test_requests_beside_the_crashing_part_are_served():
    harness = harness_module.Harness(endpoints=12)
    for _ in range(10):
        _crash(harness, "common", "subject", "bad")
        assert _serve(harness, "common", "other")
        assert _serve(harness, "common", "subject")


def test_requests_of_the_same_subject_are_served_after_a_burst_of_crashes():
    """No request without the crashing part has succeeded in the meantime."""
    harness = harness_module.Harness(endpoints=12)
    for _ in range(8):
        _crash(harness, "common", "subject", "bad")
    assert not _crash(harness, "common", "subject", "bad")[1]
    assert _serve(harness, "common", "subject")
    assert _serve(harness, "common", "other")
    assert not _crash(harness, "common", "subject", "bad")[1]


def test_blocked_request_is_refused_at_once_and_not_to_be_repeated():
    harness = harness_module.Harness(endpoints=12)
    for _ in range(8):
        caller, was_sent = _crash(harness, "common", "bad")
    assert not was_sent
    assert caller.end == "complete"
    assert caller.refusal.retry_after is None
    assert "has not run" in caller.refusal.message


def test_parts_of_one_repeated_request_stay_usable_for_others():
    harness = harness_module.Harness(endpoints=12)
    sent = sum(
        _crash(harness, "common", "subject", body=b"repeated")[1]
        for _ in range(8))
    assert sent == 3
    assert _serve(harness, "common", "subject")


def test_last_part_is_never_the_cause():
    harness = harness_module.Harness(endpoints=12)
    for _ in range(12):
        request = _make_request(harness)
        request = _make_request(harness,
                                prompt=dispatch.Prompt(
                                    request.prompt.parts[:-1] +
                                    (dispatch.PromptPart("session", 9),), 9, 9))
        _, attempt = _send(harness, request)
        assert attempt is not None
        attempt.begin()
        attempt.listener.receive_failure(True, "connection closed")
        _restart(harness, attempt.endpoint)


def test_failure_of_all_engines_at_once_blocks_nothing():
    """All crash while a request of each subject begins to be answered."""
    harness = harness_module.Harness(endpoints=12)
    attempts = []
    for number in range(24):
        _, attempt = _send(
            harness, _make_request(harness, "common", f"subject-{number % 4}"))
        attempt.begin()
        attempts.append(attempt)
    for each in attempts:
        each.listener.receive_failure(True, "connection lost")
    for each in {
            each.endpoint.name: each.endpoint for each in attempts
    }.values():
        _restart(harness, each)
    for number in range(4):
        assert _serve(harness, "common", f"subject-{number}")


def test_streams_that_had_begun_are_not_blamed_for_a_crash():
    harness = harness_module.Harness(endpoints=12)
    for _ in range(8):
        caller, attempt = _send(harness, _make_request(harness, "sound"))
        attempt.begin()
        attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
        attempt.listener.receive_failure(True, "connection closed")
        assert caller.end == "broken"
        _restart(harness, attempt.endpoint)
        harness.scheduler.advance(ms(600))
    assert _serve(harness, "sound")


def test_part_is_served_again_when_it_no_longer_crashes_engines():
    harness = harness_module.Harness(endpoints=12)
    for _ in range(8):
        _crash(harness, "common", "bad")
    served = 0
    for _ in range(300):
        harness.scheduler.advance(ms(1000))
        served += _serve(harness, "common", "bad")
    assert served > 100


def test_part_that_goes_on_crashing_engines_is_tried_ever_more_rarely():
    harness = harness_module.Harness(endpoints=12)
    sent_at = []
    for second in range(1800):
        if _crash(harness, "common", "bad")[1]:
            sent_at.append(second)
    assert len(sent_at) <= _MAX_CRASHES + 4
    gaps = [later - earlier for earlier, later in itertools.pairwise(sent_at)]
    assert all(later > 1.9 * earlier
               for earlier, later in itertools.pairwise(gaps[2:]))
