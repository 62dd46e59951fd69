"""Tests of endpoints that send bytes without end."""

import itertools

import pytest

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1 import endpoint_connection
from mustardwood.http1.tests import fake_transport

_READ_BYTES = 64 * 1024
"""Size of the parts in which bytes are received."""
_ENDLESS_BYTES = 16 * 1024 * 1024
"""Size at which the tests stop sending what should have been cut off."""
_CUT_BYTES = 2 * 1024 * 1024
"""Size by which what belongs to no response has to be cut off."""
_OK = b"HTTP/1.1 200 OK\r\nId: mine\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nId: other\r\n"


class _Listener:

    def __init__(self):
        self.body_bytes = 0
        self.end = None

    def accepts(self, status, headers):
        """Returns whether the response carries the id of the request."""
        del status
        return (b"Id", b"mine") in headers

    def receive_head(self, status, headers):
        """Ignores the head."""

    def receive_data(self, data):
        """Counts the bytes of the body."""
        self.body_bytes += len(data)

    def receive_end(self):
        """Records the end."""
        self.end = "complete"

    def receive_failure(self, was_sent, reason):
        """Records a failure."""
        assert was_sent
        self.end = reason


class _Harness:

    def __init__(self, **options):
        self.listener = _Listener()
        self.transport = fake_transport.FakeTransport()
        exchange = http1.Exchange(
            http1.HttpRequest("POST", "/a", [(b"Host", b"h")], b"body"),
            self.listener, **options)
        clock = timing.ManualClock()
        self.connection = endpoint_connection.EndpointConnection(
            clock, harness_module.FakeScheduler(clock), lambda idle: None,
            lambda lost: None, exchange, dispatch.ResponseMemory())
        self.connection.makeConnection(self.transport)

    def receive(self, begin, part, end=b""):
        """Delivers `begin` and then `part` again and again, then `end`.

        Returns:
            Number of bytes delivered when the connection was reset, or when
            the response was complete.
        """
        parts = itertools.repeat(part * max(1, _READ_BYTES // len(part)))
        sent_bytes = 0
        for data in itertools.chain([begin] if begin else [], parts):
            if (self.transport.closed == "reset" or
                    self.listener.end == "complete" or
                    sent_bytes >= _ENDLESS_BYTES):
                break
            self.connection.dataReceived(data)
            sent_bytes += len(data)
        if end and not self.transport.closed:
            self.connection.dataReceived(end)
        return sent_bytes


@pytest.mark.parametrize("begin, part, reason", [
    (b"", b"\x00garbage", "not an answer: illegal request line"),
    (b"", b"garbage ", "not an answer: Receive buffer too long"),
    (b"", b"HTTP/1.1 200 OK", "not an answer: Receive buffer too long"),
    (_OK, b"Name: value\r\n", "not an answer: Receive buffer too long"),
    (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
     "too many informational responses"),
    (b"", _OTHER + b"Content-Length: 1\r\n\r\nx",
     "too many responses to other requests"),
    (_OTHER + b"\r\n", b"x", "a response to another request is too long"),
    (b"HTTP/1.1 200 OK\r\n\r\n", b"\x00garbage",
     "a response to another request is too long"),
    (_OTHER + b"Content-Length: 1000000000\r\n\r\n", b"x",
     "a response to another request is too long"),
    (_OTHER + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n",
     "too much framing"),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n",
     b"1;" + b"e" * 1000 + b"\r\nx\r\n", "too much framing"),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\nx\r\n",
     "too much framing"),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n", b"0",
     "not an answer: Receive buffer too long"),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"Name: value\r\n",
     "not an answer: Receive buffer too long"),
])
def test_bytes_without_end_that_are_no_body_are_cut_off(begin, part, reason):
    harness = _Harness()
    assert harness.receive(begin, part) <= _CUT_BYTES
    assert harness.listener.end == reason
    assert harness.transport.closed == "reset"


@pytest.mark.parametrize("begin, part", [
    (_OK + b"\r\n", b"x"),
    (_OK + b"Content-Length: 1000000000\r\n\r\n", b"x"),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n",
     b"4000\r\n" + b"x" * 16_384 + b"\r\n"),
])
def test_body_without_end_is_cut_off_at_the_limit_of_its_exchange(begin, part):
    harness = _Harness(max_body_bytes=4 * 1024 * 1024)
    assert harness.receive(begin, part) <= 5 * 1024 * 1024
    assert harness.listener.end == "the body is too long"
    assert harness.transport.closed == "reset"


@pytest.mark.parametrize("begin, part, end", [
    (_OK + b"Content-Length: 16777216\r\n\r\n", b"x", b""),
    (_OK + b"Transfer-Encoding: chunked\r\n\r\n",
     b"1c\r\nid: 1\ndata: text of event.\n\n\r\n", b"0\r\n\r\n"),
])
def test_long_body_is_never_cut_off(begin, part, end):
    harness = _Harness()
    harness.receive(begin, part, end)
    assert harness.listener.end == "complete"


def test_one_late_response_and_some_informational_ones_are_passed_over():
    harness = _Harness()
    late = _OTHER + b"Content-Length: 1000000\r\n\r\n" + b"x" * 1_000_000
    informational = (b"HTTP/1.1 100 Continue\r\n\r\n"
                     b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
    data = (late + informational + _OK + b"X: " + b"x" * 50_000 +
            b"\r\nContent-Length: 4\r\n\r\nbody")
    for start in range(0, len(data), _READ_BYTES):
        harness.connection.dataReceived(data[start:start + _READ_BYTES])
    assert (harness.listener.body_bytes, harness.listener.end) == (4,
                                                                   "complete")


def test_long_body_that_is_received_at_once_is_not_taken_for_framing():
    harness = _Harness()
    harness.connection.dataReceived(_OK + b"Content-Length: 5000000\r\n\r\n" +
                                    b"x" * 5_000_000)
    assert harness.listener.end == "complete"


@pytest.mark.parametrize("head", [_OK, _OTHER])
def test_chunks_of_one_byte_are_cut_off_before_they_take_long(head):
    harness = _Harness()
    begin = head + b"Transfer-Encoding: chunked\r\n\r\n"
    assert harness.receive(begin, b"1\r\nx\r\n") <= len(begin) + _READ_BYTES
    assert harness.listener.end == "too much framing"
