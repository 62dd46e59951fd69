"""Tests that a request that may run is never refused as not run."""

import contextlib

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def _advance(harness, span):
    """Advances the clock; the reactor goes on after the error of a timer."""
    until = harness.clock.monotonic() + span
    while harness.clock.monotonic() < until:
        with contextlib.suppress(RuntimeError):
            harness.scheduler.advance(ms(5))


def _raise_after_send(harness):
    """Lets each send raise an error after the request was written."""
    send = harness.client.send

    def send_and_raise(*arguments):
        send(*arguments)
        raise RuntimeError("unforeseen")

    harness.client.send = send_and_raise


def test_request_ends_after_an_error_behind_its_send_from_the_queue():
    """Otherwise its caller would wait until the deadline."""
    harness = harness_module.Harness(endpoints=1)
    load = dispatch.EndpointLoad(prefill_tokens=25_000, requests=2)
    harness.loads.add("endpoint-0", load)
    forwarding, caller = harness.start(
        harness_module.make_long_request(harness))
    assert not harness.client.sent
    _raise_after_send(harness)
    harness.loads.subtract("endpoint-0", load)
    _advance(harness, ms(100))
    assert len(harness.client.sent) == 1
    assert forwarding.is_done
    assert caller.status not in _NOT_RUN_STATUSES
    assert len(harness.queue) == 0


@pytest.mark.parametrize("name", ["record_failure", "record_unreachable"])
def test_error_in_a_timer_ends_its_request(name):
    """Otherwise its caller would wait until the deadline."""
    harness = harness_module.Harness()

    def raise_error(endpoint):
        raise RuntimeError(f"unforeseen at {endpoint}")

    setattr(harness.health, name, raise_error)
    forwarding, caller = harness.start(
        harness_module.make_stream_request(harness))
    _advance(harness, ms(1500))
    assert forwarding.is_done
    assert caller.status not in _NOT_RUN_STATUSES
