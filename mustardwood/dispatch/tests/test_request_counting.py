"""Tests that requests that began to run are counted once for the usage."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_EVENT = b"id: 1\ndata: a\n\n"


class _Counter:
    """Records the requests that are counted."""

    def __init__(self):
        self.begins = []

    def record_begin(self, organisation, began_at):
        """See `dispatch.RequestCounter`."""
        self.begins.append((organisation, began_at))


class _Harness(harness_module.Harness):

    def __init__(self):
        super().__init__()
        self.counter = _Counter()
        self.context = dataclasses.replace(self.context, usage=self.counter)
        self.clock.advance(ms(1000))

    def send(self, **fields):
        """Starts a request; returns its forwarding and the first attempt."""
        fields = {"organisation": "tatra", **fields}
        forwarding, _ = self.start(
            dataclasses.replace(harness_module.make_request(self), **fields))
        self.scheduler.advance(ms(40))
        return forwarding, self.client.sent[-1]


@pytest.fixture(name="harness")
def _make_harness():
    return _Harness()


def _send_plain(harness, **fields):
    return harness.send(is_stream=False,
                        prompt=dispatch.Prompt(),
                        **{
                            "retry_policy": dispatch.RetryPolicy.AT_MOST_ONCE,
                            **fields
                        })


def test_stream_is_counted_at_its_first_event(harness):
    """Failure: a stream is counted in the window in which it was sent or ends.
    """
    _, attempt = harness.send(is_stream=True)
    attempt.begin()
    assert not harness.counter.begins
    harness.scheduler.advance(ms(300))
    attempt.listener.receive_data(_EVENT)
    attempt.listener.receive_data(_EVENT.replace(b"1", b"2"))
    attempt.listener.receive_end()
    assert harness.counter.begins == [("tatra", ms(1340))]


def test_resumed_stream_is_not_counted_again(harness):
    """Failure: a stream counts twice because its caller resumed it."""
    for index in range(3):
        harness.directory.set_endpoint(
            harness_module.make_endpoint(index, version="v1"))
    fields = {
        "is_stream": True,
        "retry_policy": dispatch.RetryPolicy.RESUMABLE,
        "request_id": "first"
    }
    first, attempt = harness.send(**fields)
    attempt.begin()
    attempt.listener.receive_data(_EVENT)
    first.handle_caller_disconnect()
    assert len(harness.counter.begins) == 1
    _, attempt = harness.send(
        **{
            **fields, "request_id": "second",
            "last_event_id": 1,
            "resumed_request_id": "first"
        })
    attempt.respond(body=_EVENT.replace(b"1", b"2"))
    assert len(harness.client.sent) == 2
    assert len(harness.counter.begins) == 1


@pytest.mark.parametrize("status", [200, 500, 504])
def test_answered_plain_request_is_counted_when_it_was_sent(harness, status):
    """Failure: requests that ran and failed are missing in the usage."""
    _, attempt = _send_plain(harness)
    harness.scheduler.advance(ms(25))
    attempt.respond(status, b"answer")
    assert harness.counter.begins == [("tatra", ms(1000))]


@pytest.mark.parametrize("status, not_run", [(503, True), (429, True),
                                             (421, True), (400, False),
                                             (500, True)])
def test_plain_request_that_did_not_run_is_not_counted(harness, status,
                                                       not_run):
    """Failure: refused requests are counted."""
    _, attempt = _send_plain(harness)
    attempt.respond(status, b"", not_run=not_run)
    for each in harness.client.sent[1:]:
        each.respond(503, b"", not_run=True)
    assert not harness.counter.begins


@pytest.mark.parametrize("was_sent", [True, False])
def test_lost_plain_request_is_counted_if_it_was_sent(harness, was_sent):
    """Failure: requests that ran at a crashed endpoint are not counted."""
    _, attempt = _send_plain(harness)
    attempt.is_connected = was_sent
    attempt.listener.receive_failure(was_sent, "connection lost")
    assert bool(harness.counter.begins) == was_sent


def test_retried_plain_request_is_counted_once(harness):
    """Failure: a request counts once for each endpoint that ran it."""
    _send_plain(harness, retry_policy=dispatch.RetryPolicy.IDEMPOTENT)
    harness.client.sent[-1].listener.receive_failure(True, "lost")
    harness.scheduler.advance(ms(10))
    assert len(harness.client.sent) == 2
    harness.client.sent[-1].respond(200, b"answer")
    assert harness.counter.begins == [("tatra", ms(1000))]


def test_request_without_an_organisation_is_not_counted(harness):
    """Failure: usage is reported for an organisation without a name."""
    _, attempt = _send_plain(harness, organisation="")
    attempt.respond(200, b"answer")
    assert not harness.counter.begins


def test_plain_request_whose_caller_left_is_counted(harness):
    """Failure: a request that an endpoint runs is missing in the usage."""
    forwarding, _ = _send_plain(harness)
    forwarding.handle_caller_disconnect()
    assert harness.counter.begins == [("tatra", ms(1000))]
