"""Tests of what forwarded responses say about engines."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_EVENT = b"id: %d\ndata: x\n\n"


@pytest.fixture(name="harness")
def _make_harness():
    return harness_module.Harness(endpoints=1)


def _answer(harness, gap=ms(60), events=20, before=lambda: None, **changes):
    """Sends a request and answers it; an event has six tokens."""
    harness.start(harness_module.make_stream_request(harness, **changes))
    attempt = harness.client.sent[-1]
    harness.scheduler.advance(ms(100))
    before()
    attempt.begin()
    for number in range(1, events + 1):
        attempt.listener.receive_data(_EVENT % number)
        harness.scheduler.advance(gap)
    attempt.listener.receive_end()
    return attempt


def _find_profile(harness):
    harness.scheduler.advance(ms(500))
    return harness.profiles.find_profile("engine")


def test_complete_streams_show_the_speed_of_steps_and_the_output_share(harness):
    for _ in range(5):
        _answer(harness)
    profile = _find_profile(harness)
    # Sixty milliseconds for six tokens, at one request.
    assert profile.estimate_step(1, 0).total_seconds() == pytest.approx(0.01,
                                                                        rel=0.1)
    assert profile.output_share < 0.7
    assert profile.prefill_error < 1.0


def test_responses_of_an_endpoint_with_a_rate_limit_do_not_count(harness):
    endpoint = harness.list_usable()[0]
    _answer(harness,
            before=lambda: harness.rate_limits.record_response(
                endpoint, dispatch.RateStatement(2.0), True))
    assert harness.rate_limits.find_limit(endpoint) is not None
    assert _find_profile(harness).step_error == 1.0


def test_responses_of_a_failing_endpoint_do_not_count(harness):
    _answer(harness, before=lambda: harness.health.record_failure("endpoint-0"))
    assert _find_profile(harness).step_error == 1.0


def test_resumed_stream_says_nothing_about_prefill_and_output(harness):
    harness.streams.record(b"", "v1")
    harness.start(
        harness_module.make_stream_request(harness,
                                           last_event_id=3,
                                           resumed_request_id="id-9"))
    harness.scheduler.advance(ms(100))
    for attempt in harness.client.sent:
        attempt.respond(body=_EVENT % 4 + _EVENT % 5)
    profile = _find_profile(harness)
    assert profile.prefill_error == 1.0
    assert profile.output_share == 1.0


def test_truncated_response_says_nothing_about_the_output(harness):
    harness.start(harness_module.make_stream_request(harness))
    attempt = harness.client.sent[-1]
    attempt.begin()
    attempt.listener.receive_data(_EVENT % 1)
    attempt.listener.receive_failure(True, "connection lost")
    assert _find_profile(harness).output_share == 1.0


def test_requests_without_a_prompt_are_not_measured(harness):
    harness.start(harness_module.make_request(harness, is_stream=True))
    harness.client.sent[-1].respond(body=_EVENT % 1 + _EVENT % 2)
    assert _find_profile(harness).prefill_error == 1.0
