"""Requests that crash the endpoints that run them."""

from mustardwood import dispatch
from mustardwood.dispatch import crash_record
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _crash_next(harness, request):
    """Sends a request once; the endpoint that gets it is lost."""
    known = len(harness.client.sent)
    _, caller = harness.start(request)
    if len(harness.client.sent) == known:
        return caller, None
    attempt = harness.client.sent[-1]
    attempt.listener.receive_failure(True, "connection lost")
    return caller, attempt.endpoint.name


def _make_poison(harness, request_id):
    return harness_module.make_request(
        harness,
        request_id=request_id,
        retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE,
        body=b"poison")


def test_request_that_crashed_three_endpoints_reaches_no_fourth():
    harness = harness_module.Harness(endpoints=6)
    lost = set()
    for index in range(8):
        caller, endpoint = _crash_next(harness,
                                       _make_poison(harness, f"id-{index}"))
        assert caller.status == 502
        lost.add(endpoint)
        harness.scheduler.advance(ms(500))
    assert len(lost - {None}) == 3
    assert len(harness.client.sent) == 3


def test_repeat_within_one_attempt_ends_with_the_third_crash():
    harness = harness_module.Harness(endpoints=6)
    _, caller = harness.start(
        harness_module.make_request(harness, body=b"poison", max_runs=9))
    for _ in range(3):
        harness.client.sent[-1].listener.receive_failure(
            True, "connection lost")
    assert len(harness.client.sent) == 3
    assert caller.status == 502


def test_other_requests_are_served_after_a_conviction():
    harness = harness_module.Harness(endpoints=6)
    for index in range(3):
        _crash_next(harness, _make_poison(harness, f"id-{index}"))
    _, caller = harness.start(
        harness_module.make_request(harness, body=b"sound"))
    harness.client.sent[-1].answer(body=b"whole")
    assert caller.status == 200


def test_answers_lost_by_the_way_do_not_convict_a_request_that_succeeds():
    harness = harness_module.Harness(endpoints=9)
    for index in range(6):
        _crash_next(harness, _make_poison(harness, f"id-{index}"))
        harness.crashes.record_success(
            crash_record.find_fingerprint(_make_poison(harness, "other")))
    assert len(harness.client.sent) == 6


def test_request_that_succeeded_before_is_served_after_an_outage_of_all():
    """Many callers send it, and each endpoint resets it for a while."""
    harness = harness_module.Harness(endpoints=4)
    harness.start(_make_poison(harness, "before"))
    harness.client.sent[-1].answer(body=b"whole")
    for index in range(8):
        _crash_next(harness, _make_poison(harness, f"id-{index}"))
    assert len(harness.client.sent) == 9


def test_broken_answer_with_a_head_is_no_crash_of_the_start():
    harness = harness_module.Harness(endpoints=9)
    for index in range(5):
        harness.start(_make_poison(harness, f"id-{index}"))
        harness.client.sent[-1].begin()
        harness.client.sent[-1].listener.receive_failure(
            True, "connection lost")
    assert len(harness.client.sent) == 5


def test_conviction_ends_after_a_minute():
    harness = harness_module.Harness(endpoints=6)
    for index in range(3):
        _crash_next(harness, _make_poison(harness, f"id-{index}"))
    harness.scheduler.advance(ms(61_000))
    _crash_next(harness, _make_poison(harness, "later"))
    assert len(harness.client.sent) == 4


def test_losses_are_told_for_a_moment_and_in_bounded_number():
    harness = harness_module.Harness()
    for index in range(100):
        harness.crashes.record_crash(f"request-{index}", "endpoint-1")
    assert 0 < len(harness.crashes.list_recent_crashes()) <= 32
    harness.scheduler.advance(ms(1100))
    assert not harness.crashes.list_recent_crashes()
