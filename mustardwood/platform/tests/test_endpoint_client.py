"""Tests of requests to endpoints and of the meaning of responses."""

import datetime

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.platform import endpoint_client

ms = harness_module.ms
_ID = (b"Mustardwood-Attempt-Id", b"a1")
_SIGNED = (b"Mustardwood-Replica-Signature", b"s")


class _Pool:

    def __init__(self):
        self.sent = None

    def send(self, address, http_request, listener, max_idle_time, before_write,
             request_id):
        """Records the request."""
        assert request_id == b"a1"
        before_write()
        self.sent = address, http_request, listener, max_idle_time


class _Listener:

    def __init__(self):
        self.head = None
        self.statements = None

    def receive_head(self, status, headers, is_verified, was_not_run,
                     statements):
        """Records the head of the response."""
        self.head = status, headers, is_verified, was_not_run
        self.statements = statements


def _send(resume_after=None, **changes):
    harness = harness_module.Harness(endpoints=1)
    request = harness_module.make_stream_request(harness,
                                                 request_id="a1",
                                                 **changes)
    pool, listener = _Pool(), _Listener()
    endpoint_client.HttpEndpointClient(pool).send(
        request, harness_module.make_endpoint(0), ms(1234), resume_after,
        listener, lambda: None)
    return pool.sent, listener


def _find_values(http_request, name):
    return [value for key, value in http_request.headers if key == name]


def test_request_carries_the_headers_of_the_platform():
    (address, http_request, _, _), _ = _send(headers=((b"X-Kept", b"1"),))
    assert address == ("192.0.2.1", 8000)
    assert _find_values(http_request, b"X-Kept") == [b"1"]
    assert _find_values(http_request, b"Mustardwood-Deadline-Ms") == [b"1234"]
    assert _find_values(http_request,
                        b"Mustardwood-Expect-Replica") == [b"endpoint-0"]
    assert _find_values(http_request,
                        b"Mustardwood-Tenant") == [b"organisation"]
    assert _find_values(http_request, b"Mustardwood-Request-Priority") == [b"1"]


@pytest.mark.parametrize("tier, priority", [(0, b"0"), (9, b"9"), (40, b"9"),
                                            (-3, b"0")])
def test_priority_is_limited_to_the_range_of_the_engine(tier, priority):
    (_, http_request, _, _), _ = _send(tier=tier)
    assert _find_values(http_request,
                        b"Mustardwood-Request-Priority") == [priority]


@pytest.mark.parametrize("own_event_id, resume_after, expected",
                         [(None, None, []), (4, None, [b"4"]), (4, 9, [b"9"]),
                          (None, 9, [b"9"])])
def test_last_event_id_is_that_of_the_resumption_or_of_the_caller(
        own_event_id, resume_after, expected):
    (_, http_request, _, _), _ = _send(resume_after=resume_after,
                                       last_event_id=own_event_id)
    assert _find_values(http_request, b"Last-Event-Id") == expected


def test_request_that_may_run_once_avoids_long_idle_connections():
    (_, _, _, idle), _ = _send(retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE)
    assert idle <= datetime.timedelta(seconds=1)


@pytest.mark.parametrize("status, headers, verified, not_run", [
    (200, [_SIGNED], True, False),
    (200, [], False, False),
    (200, [_SIGNED, (b"Content-Encoding", b"gzip")], False, False),
    (503, [(b"Mustardwood-Not-Executed", b"1")], False, True),
    (503, [], False, False),
    (421, [(b"Mustardwood-Replica-Id", b"endpoint-9")], False, True),
    (421, [(b"Mustardwood-Replica-Id", b"endpoint-0")], False, False),
    (421, [(b"Mustardwood-Not-Executed", b"1")], False, True),
    (421, [], False, False),
    (500, [_SIGNED], True, False),
])
def test_response_is_interpreted_by_status_and_headers(status, headers,
                                                       verified, not_run):
    (_, _, decoder, _), listener = _send()
    assert decoder.accepts(status, [_ID, *headers])
    decoder.receive_head(status, [_ID, *headers, (b"Connection", b"close")])
    assert listener.head == (status, [_ID, *headers], verified, not_run)


def test_stated_rate_limit_is_passed_on():
    (_, _, decoder, _), listener = _send()
    decoder.receive_head(503, [_ID, (b"Server-Limit", b"2.5")])
    assert listener.statements == dispatch.EndpointStatements(
        dispatch.RateStatement(2.5))


@pytest.mark.parametrize("headers", [[], [(b"Mustardwood-Attempt-Id", b"b2")]])
def test_response_without_the_request_id_is_not_accepted(headers):
    (_, _, decoder, _), _ = _send()
    assert not decoder.accepts(200, headers)
