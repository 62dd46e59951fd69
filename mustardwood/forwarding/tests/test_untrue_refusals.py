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


@pytest.mark.parametrize("is_connected", [True, False])
@pytest.mark.parametrize("end", ["deadline", "exit"])
def test_open_attempt_is_refused_as_not_run_only_if_nothing_was_written(
        end, is_connected):
    harness = harness_module.Harness()
    harness.client.is_connected = is_connected
    request = harness_module.make_request(
        harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE, max_runs=1)
    forwarding, caller = harness.start(request)
    if end == "exit":
        forwarding.handle_exit()
    else:
        harness.scheduler.advance(ms(10_000))
    assert harness.client.sent[0].is_aborted
    assert (caller.status in _NOT_RUN_STATUSES) is not is_connected


def test_request_is_not_written_if_its_vm_is_about_to_stop():
    """The connection was being opened when the shutdown limited requests."""
    harness = harness_module.Harness()
    harness.client.is_connected = False
    _, caller = harness.start()
    harness.process_exit.limit_requests(harness.clock.monotonic() + ms(1000))
    attempt = harness.client.sent[0]
    attempt.connect()
    harness.scheduler.advance(ms(0))
    assert attempt.is_aborted and not attempt.is_written
    assert caller.status == 503


def test_error_behind_the_close_of_an_endpoint_ends_its_request():
    """The code that closes the connection can't answer the caller."""
    harness = harness_module.Harness()
    forwarding, caller = harness.start()
    first = harness.client.sent[0]
    first.closes_late = True
    first.listener.receive_failure(True, "not an answer")
    second = harness.client.sent[1]

    def raise_error():
        raise RuntimeError("unforeseen")

    second.write = raise_error
    first.on_closed(True)
    assert forwarding.is_done
    assert second.is_aborted
    assert caller.status == 502
