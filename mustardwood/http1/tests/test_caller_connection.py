"""Callers that send slowly, too much, or what can't be read."""

import datetime

import pytest

from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport

ms = harness_module.ms
_REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class _Service:

    def __init__(self):
        self.limits = http1.ConnectionLimits(
            header_bytes=1000,
            body_bytes=100,
            header_time=datetime.timedelta(seconds=3),
            idle_time=datetime.timedelta(seconds=15))
        self.stopping = False
        self.requests = []
        self.connections = set()

    def find_limits(self):
        """Returns the limits."""
        return self.limits

    def is_stopping(self):
        """Returns whether answers end their connections."""
        return self.stopping

    def handle_request(self, message, channel):
        """Keeps the request."""
        self.requests.append((message, channel))

    def add_connection(self, connection):
        """Counts a connection."""
        self.connections.add(connection)

    def remove_connection(self, connection):
        """Counts a connection no longer."""
        self.connections.discard(connection)


class _Case:

    def __init__(self):
        self.service = _Service()
        self.scheduler = harness_module.FakeScheduler(timing.ManualClock())
        self.connection = http1.CallerConnection(self.service, self.scheduler)
        self.transport = fake_transport.FakeTransport()
        self.connection.makeConnection(self.transport)

    def receive(self, data):
        """Delivers bytes."""
        self.connection.dataReceived(data)

    def answer(self, body=b"ok"):
        """Answers the last request."""
        _, channel = self.service.requests[-1]
        channel.begin(200, [], len(body))
        channel.write(body)
        channel.finish()
        return self.transport.take()


def test_connection_is_kept_for_the_next_request():
    case = _Case()
    for _ in range(3):
        case.receive(_REQUEST)
        assert case.answer().endswith(b"ok")
    assert len(case.service.requests) == 3
    assert not case.transport.closed


def test_body_in_chunks_arrives_whole():
    case = _Case()
    case.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n"
                 b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")
    assert not case.service.requests
    case.receive(b"1\r\nc\r\n0\r\n\r\n")
    assert case.service.requests[0][0].body == b"abc"


def test_caller_that_waits_for_leave_to_send_gets_it():
    case = _Case()
    case.receive(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                 b"Expect: 100-continue\r\n\r\n")
    assert case.transport.take().startswith(b"HTTP/1.1 100 ")
    case.receive(b"abc")
    assert case.service.requests[0][0].body == b"abc"


@pytest.mark.parametrize("head", [
    b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 5\r\nContent-Length: 6\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Content-Length : 5\r\n",
])
def test_ambiguous_framing_is_refused_and_the_connection_ends(head):
    case = _Case()
    case.receive(b"POST /a HTTP/1.1\r\nHost: h\r\n" + head +
                 b"\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n")
    assert not case.service.requests
    answer = case.transport.take()
    assert answer.startswith(b"HTTP/1.1 400 ") or answer.startswith(
        b"HTTP/1.1 501 ")
    assert b"connection: close" in answer.lower()
    assert case.transport.closed


def test_long_head_and_long_body_are_refused():
    case = _Case()
    case.receive(b"GET /a HTTP/1.1\r\nX: " + b"x" * 2000)
    assert case.transport.take().startswith(b"HTTP/1.1 431 ")
    case = _Case()
    case.receive(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" +
                 b"x" * 101)
    assert case.transport.take().startswith(b"HTTP/1.1 413 ")
    assert not case.service.requests


def test_slow_head_is_refused_as_not_run():
    case = _Case()
    case.receive(b"GET /a HT")
    case.scheduler.advance(ms(3000))
    assert case.transport.take().startswith(b"HTTP/1.1 408 ")


def test_idle_connection_is_closed_without_an_answer():
    case = _Case()
    case.receive(_REQUEST)
    case.answer()
    case.scheduler.advance(ms(14_999))
    assert not case.transport.closed
    case.scheduler.advance(ms(1))
    assert case.transport.closed == "closed"
    assert not case.transport.take()


def test_stop_ends_the_connection_with_its_answer():
    case = _Case()
    case.receive(_REQUEST)
    case.service.stopping = True
    assert b"connection: close" in case.answer().lower()
    assert case.transport.closed == "written"


def test_request_behind_an_unfinished_one_waits():
    case = _Case()
    case.receive(_REQUEST + _REQUEST)
    assert len(case.service.requests) == 1
    case.answer()
    assert len(case.service.requests) == 2


def test_caller_that_leaves_is_noticed_once():
    case = _Case()
    case.receive(_REQUEST)
    gone = []
    _, channel = case.service.requests[0]
    channel.notify_gone(lambda: gone.append(True))
    case.connection.connectionLost()
    channel.begin(200, [], 2)
    channel.finish()
    assert gone == [True]
    assert not case.service.connections


def test_broken_answer_resets_the_connection():
    case = _Case()
    case.receive(_REQUEST)
    _, channel = case.service.requests[0]
    channel.begin(200, [], None)
    channel.write(b"part")
    channel.abort()
    assert case.transport.closed == "reset"
    assert not case.transport.take().endswith(b"0\r\n\r\n")
