"""Tests of the blocking of requests that crash endpoints."""

from mustardwood import dispatch
from mustardwood.dispatch import crash_record
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _send_and_crash(harness, request):
    """Sends a request once and loses the connection to its endpoint.

    Returns:
        The caller, and the name of the endpoint; None if none was used.
    """
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


def test_request_that_crashed_three_endpoints_is_not_sent_to_a_fourth():
    harness = harness_module.Harness(endpoints=6)
    lost = set()
    for index in range(8):
        caller, endpoint = _send_and_crash(harness,
                                           _make_poison(harness, f"id-{index}"))
        assert caller.status == 502
        lost.add(endpoint)
        harness.scheduler.advance(ms(500))
    assert len(lost - {None}) == 3
    assert len(harness.client.sent) == 3


def test_retries_of_one_request_end_with_the_third_crash():
    harness = harness_module.Harness(endpoints=6)
    _, caller = harness.start(
        harness_module.make_request(harness, body=b"poison", max_runs=9))
    for _ in range(3):
        harness.client.sent[-1].listener.receive_failure(
            True, "connection lost")
    assert len(harness.client.sent) == 3
    assert caller.status == 502


def test_other_requests_are_served_while_one_is_blocked():
    harness = harness_module.Harness(endpoints=6)
    for index in range(3):
        _send_and_crash(harness, _make_poison(harness, f"id-{index}"))
    _, caller = harness.start(
        harness_module.make_request(harness, body=b"sound"))
    harness.client.sent[-1].respond(body=b"whole")
    assert caller.status == 200


def test_lost_responses_do_not_block_a_request_that_succeeds():
    harness = harness_module.Harness(endpoints=9)
    for index in range(6):
        _send_and_crash(harness, _make_poison(harness, f"id-{index}"))
        harness.crashes.record_success(
            crash_record.find_fingerprint(_make_poison(harness, "other")))
    assert len(harness.client.sent) == 6


def test_request_that_succeeded_before_is_not_blocked_by_an_outage():
    """Many callers send the same request while all endpoints are failing."""
    harness = harness_module.Harness(endpoints=4)
    harness.start(_make_poison(harness, "before"))
    harness.client.sent[-1].respond(body=b"whole")
    for index in range(8):
        _send_and_crash(harness, _make_poison(harness, f"id-{index}"))
    assert len(harness.client.sent) == 9


def test_connection_lost_after_the_head_does_not_count_as_a_crash():
    harness = harness_module.Harness(endpoints=9)
    for index in range(5):
        harness.start(_make_poison(harness, f"id-{index}"))
        harness.client.sent[-1].begin()
        harness.client.sent[-1].listener.receive_failure(
            True, "connection lost")
    assert len(harness.client.sent) == 5


def test_request_is_unblocked_after_a_minute():
    harness = harness_module.Harness(endpoints=6)
    for index in range(3):
        _send_and_crash(harness, _make_poison(harness, f"id-{index}"))
    harness.scheduler.advance(ms(61_000))
    _send_and_crash(harness, _make_poison(harness, "later"))
    assert len(harness.client.sent) == 4


def test_crashes_are_reported_for_a_second_and_in_limited_number():
    harness = harness_module.Harness()
    for index in range(100):
        harness.crashes.record_crash(f"request-{index}", "endpoint-1")
    assert 0 < len(harness.crashes.list_recent_crashes()) <= 32
    harness.scheduler.advance(ms(1100))
    assert not harness.crashes.list_recent_crashes()
