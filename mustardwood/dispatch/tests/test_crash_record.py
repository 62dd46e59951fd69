"""Tests of the blocking of requests that crash endpoints."""

import pytest

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


def test_two_connections_lost_after_the_head_do_not_block_a_request():
    harness = harness_module.Harness(endpoints=9)
    for index in range(6):
        request = _make_poison(harness, f"id-{index}")
        harness.start(request)
        attempt = harness.client.sent[-1]
        attempt.begin()
        if index % 3 < 2:
            attempt.listener.receive_failure(True, "connection lost")
        else:
            attempt.listener.receive_data(b"whole")
            attempt.listener.receive_end()
    assert len(harness.client.sent) == 6


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


def _lose(harness, request_id, stage, **changes):
    """Loses a stream's endpoint at a stage of the response.

    Returns:
        The caller, and whether the request was sent.
    """
    known = len(harness.client.sent)
    _, caller = harness.start(
        harness_module.make_stream_request(
            harness, **{
                "request_id": request_id,
                "retry_policy": dispatch.RetryPolicy.AT_MOST_ONCE,
                "max_runs": 1,
                "body": b"poison",
                "prompt": dispatch.Prompt((), 800, 40),
                **changes
            }))
    if len(harness.client.sent) == known:
        return caller, False
    attempt = harness.client.sent[-1]
    if stage != "before the head":
        attempt.begin()
    if stage == "after events":
        attempt.listener.receive_data(b"id: 1\ndata: a\n\n")
        harness.scheduler.advance(ms(300))
        attempt.listener.receive_data(b"id: 2\ndata: a\n\n")
    attempt.listener.receive_failure(True, "connection lost")
    return caller, True


@pytest.mark.parametrize("stage",
                         ["before the head", "before events", "after events"])
def test_stream_that_crashed_three_engines_is_not_sent_to_a_fourth(stage):
    harness = harness_module.Harness(endpoints=9)
    sent = 0
    for index in range(8):
        caller, was_sent = _lose(harness, f"id-{index}", stage)
        sent += was_sent
        harness.scheduler.advance(ms(1000))
    assert sent == 3
    assert caller.status == 502
    assert caller.end == "complete"


def test_resumable_stream_ends_with_the_third_crash_after_events():
    harness = harness_module.Harness(endpoints=9)
    _, caller = harness.start(
        harness_module.make_stream_request(harness, max_runs=9, body=b"poison"))
    for number in range(1, 5):
        attempt = harness.client.sent[-1]
        if attempt.is_aborted or caller.end:
            break
        attempt.begin()
        attempt.listener.receive_data(b"id: %d\ndata: a\n\n" % number)
        attempt.listener.receive_failure(True, "connection lost")
    assert len(harness.client.sent) == 3
    assert caller.end == "broken"


def test_crashes_of_one_engine_that_restarts_under_its_name_count_each():
    harness = harness_module.Harness(endpoints=1)
    sent = 0
    for index in range(8):
        sent += _lose(harness, f"id-{index}", "before events")[1]
        harness.directory.set_endpoint(
            harness_module.make_endpoint(0, started=index + 1))
        harness.health.forget_endpoint("endpoint-0")
        harness.scheduler.advance(ms(1000))
    assert sent == 3


def test_request_that_still_crashes_after_its_block_is_blocked_at_once():
    harness = harness_module.Harness(endpoints=20)
    sent = []
    for index in range(200):
        if _lose(harness, f"id-{index}", "before events")[1]:
            sent.append(index)
        harness.scheduler.advance(ms(1000))
    assert len(sent) <= 5
    assert sent[3] >= 60


def test_vm_that_starts_learns_of_blocked_requests():
    """The crashes lie longer back than a report to peers does."""
    harness = harness_module.Harness(endpoints=9)
    for index in range(3):
        _lose(harness, f"id-{index}", "after events")
    harness.scheduler.advance(ms(50_000))
    started = harness_module.Harness(endpoints=9)
    for block in harness.crashes.list_blocks():
        started.crashes.record_peer_block(block)
    assert not _lose(started, "id-9", "after events")[1]
    started.scheduler.advance(ms(11_000))
    assert _lose(started, "id-10", "after events")[1]
    assert not _lose(started, "id-11", "after events")[1]


def test_reports_of_a_block_do_not_prolong_it():
    """Two VMs tell each other of the same block again and again."""
    harness = harness_module.Harness(endpoints=9)
    for index in range(3):
        _lose(harness, f"id-{index}", "after events")
    other = harness_module.Harness(endpoints=9)
    for _ in range(61):
        for sender, receiver in ((harness, other), (other, harness)):
            for block in sender.crashes.list_blocks():
                receiver.crashes.record_peer_block(block)
        harness.scheduler.advance(ms(1000))
        other.scheduler.advance(ms(1000))
    for each in (harness, other):
        assert each.crashes.blocked_count == 0
        assert _lose(each, "id-9", "after events")[1]
