"""Tests of ends and resets of real connections to endpoints."""

import select

import pytest

from mustardwood import dispatch
from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1 import endpoint_connection
from mustardwood.http1.tests import real_connection

_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


class _Listener:
    """Records the response to a request."""

    def __init__(self):
        self.body = b""
        self.end = None

    def accepts(self, status, headers):
        """Accepts every response."""
        del status, headers
        return True

    def receive_head(self, status, headers):
        """Ignores the head."""

    def receive_data(self, data):
        """Records a part of the body."""
        self.body += data

    def receive_end(self):
        """Records the end."""
        self.end = "complete"

    def receive_failure(self, was_sent, reason):
        """Records a failure."""
        del was_sent
        self.end = reason


@pytest.fixture(name="connection")
def _make_connection():
    connection = real_connection.RealConnection()
    yield connection
    connection.end()


def _start_request(connection):
    listener = _Listener()
    clock = timing.ManualClock()
    connection.open(
        endpoint_connection.EndpointConnection(
            clock, harness_module.FakeScheduler(clock), lambda _: None,
            lambda _: None,
            http1.Exchange(
                http1.HttpRequest("POST", "/a", [(b"Host", b"h")], b"body"),
                listener), dispatch.ResponseMemory()))
    return listener


@pytest.mark.parametrize("events", [
    select.EPOLLHUP, select.EPOLLERR, select.EPOLLHUP | select.EPOLLERR,
    select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR, select.EPOLLOUT,
    select.EPOLLIN | select.EPOLLOUT
])
def test_hang_up_of_a_reset_connection_completes_no_response(
        connection, events):
    # While the system handles a reset, a poll may show a hang-up without input,
    # which the event loop takes for a regular end.
    listener = _start_request(connection)
    connection.receive(_HEAD + b"event")
    connection.close(is_reset=True)
    connection.handle(events)
    assert listener.body == b"event"
    assert listener.end not in (None, "complete")


@pytest.mark.parametrize("events", [
    select.EPOLLHUP, select.EPOLLIN,
    select.EPOLLIN | select.EPOLLHUP | select.EPOLLRDHUP
])
def test_regular_end_completes_the_response(connection, events):
    listener = _start_request(connection)
    connection.receive(_HEAD + b"event")
    connection.close(is_reset=False)
    connection.handle(events)
    assert (listener.body, listener.end) == (b"event", "complete")


def test_hang_up_before_the_last_data_loses_none_of_it(connection):
    listener = _start_request(connection)
    connection.receive(_HEAD)
    connection.endpoint.sendall(b"event")
    connection.close(is_reset=False)
    connection.handle(select.EPOLLHUP)
    connection.handle(select.EPOLLIN)
    assert (listener.body, listener.end) == (b"event", "complete")


def test_hang_up_without_an_end_is_none(connection):
    listener = _start_request(connection)
    connection.receive(_HEAD)
    connection.handle(select.EPOLLHUP)
    assert listener.end is None
    connection.receive(b"event")
    assert listener.body == b"event"
