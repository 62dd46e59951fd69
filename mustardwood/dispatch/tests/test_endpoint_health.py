"""Tests of the health of endpoints that stay in trouble for long."""

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def test_endpoint_may_be_unreachable_any_number_of_times():
    """The avoid time overflowed at the 48th failed connection in a row."""
    clock = timing.ManualClock()
    health = dispatch.EndpointHealth(clock)
    for _ in range(2000):
        health.record_unreachable("endpoint-0")
        assert health.is_avoided("endpoint-0")
        clock.advance(ms(3000))
        assert not health.is_avoided("endpoint-0")


def test_requests_are_served_beside_an_endpoint_that_nobody_answers_for():
    """They hung without an attempt until their deadline."""
    harness = harness_module.Harness(endpoints=2)
    for _ in range(100):
        # The other endpoint is busy, so this one is tried now and then.
        harness.loads.add("endpoint-1", dispatch.EndpointLoad(requests=60))
        _, caller = harness.start()
        first = harness.client.sent[-1]
        harness.loads.subtract("endpoint-1", dispatch.EndpointLoad(requests=60))
        if first.endpoint.name == "endpoint-0":
            first.listener.receive_failure(False, "refused")
        harness.client.sent[-1].respond(body=b"data")
        assert caller.status == 200
        harness.scheduler.advance(ms(3000))


@pytest.mark.parametrize("end", [
    lambda listener: listener.receive_failure(True, "reset"),
    lambda listener: listener.receive_failure(False, "refused")
])
def test_error_in_the_handling_of_a_failure_leaves_no_request_open(end):
    """Its caller would wait until the deadline, and learn nothing."""
    harness = harness_module.Harness()

    def fail(endpoint):
        raise RuntimeError(f"unforeseen: {endpoint}")

    harness.health.record_unreachable = fail
    harness.health.record_failure = fail
    forwarding, caller = harness.start()
    end(harness.client.sent[0].listener)
    assert forwarding.is_done
    # The request may have run, as far as the router can tell.
    assert caller.status == 502
    error, = (
        fields for event, fields in harness.journal.lines if event == "error")
    assert error["error"].startswith("unforeseen")
    assert error["traceback"][-1].startswith(
        "test_error_in_the_handling_of_a_failure")


def test_error_in_the_handling_of_a_response_leaves_no_request_open():
    """The connection to the endpoint can't tell the caller."""
    harness = harness_module.Harness()

    def fail(endpoint):
        raise RuntimeError(f"unforeseen: {endpoint}")

    harness.health.record_success = fail
    forwarding, caller = harness.start()
    harness.client.sent[0].respond(body=b"data")
    assert forwarding.is_done
    assert caller.status == 502


def test_blocks_of_a_crashing_request_may_repeat_any_number_of_times():
    """The time of a block overflowed after some hours of crashes."""
    clock = timing.ManualClock()
    crashes = dispatch.CrashRecord(clock)
    for number in range(200):
        for endpoint in range(4):
            crashes.record_crash("fingerprint", f"endpoint-{number}-{endpoint}")
        clock.advance(_find_block_time(crashes) + ms(1))
        assert not crashes.is_blocked("fingerprint")


def _find_block_time(crashes):
    block, = crashes.list_blocks()
    return block.time_left
