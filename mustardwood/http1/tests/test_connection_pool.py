"""Connections that are kept, refused, or given up while they open."""

import datetime

from twisted.internet import error as internet_error
from twisted.python import failure

from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport

ms = harness_module.ms
_ADDRESS = ("192.0.2.1", 8000)
_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class _Connector:

    def __init__(self):
        self.is_stopped = False

    def disconnect(self):
        """Stops connecting."""
        self.is_stopped = True


class _Reactor:
    """Keeps the connections that are asked for."""

    def __init__(self):
        self.opening = []
        self.connectors = []

    def connectTCP(  # pylint: disable=invalid-name
            self, host, port, factory, timeout):
        """Keeps a connection that is asked for."""
        del host, port, timeout
        self.opening.append(factory)
        self.connectors.append(_Connector())
        return self.connectors[-1]

    def open(self):
        """Opens the connection asked for last; returns its two sides."""
        connection = self.opening[-1].buildProtocol(None)
        connection.makeConnection(fake_transport.FakeTransport())
        return connection, connection.transport


class _Listener:

    def __init__(self):
        self.ends = []

    def accepts(self, status, headers):
        """Takes every answer."""
        del status, headers
        return True

    def receive_head(self, status, headers):
        """Ignores the head."""

    def receive_data(self, data):
        """Ignores the body."""

    def receive_end(self):
        """Keeps the end."""
        self.ends.append("complete")

    def receive_failure(self, was_sent, reason):
        """Keeps the failure."""
        self.ends.append((was_sent, reason))


class _Case:

    def __init__(self):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.reactor = _Reactor()
        self.pool = http1.ConnectionPool(self.reactor, self.clock,
                                         self.scheduler)
        self.listener = _Listener()

    def send(self, longest_idle=datetime.timedelta.max):
        """Sends a request."""
        return self.pool.send(_ADDRESS,
                              http1.HttpRequest("GET", "/", [(b"Host", b"h")]),
                              self.listener, longest_idle)

    def serve_one(self):
        """Sends a request on a new connection and answers it."""
        self.send()
        connection, transport = self.reactor.open()
        transport.take()
        connection.dataReceived(_ANSWER)
        return connection, transport


def test_kept_connection_carries_the_next_request():
    case = _Case()
    _, transport = case.serve_one()
    case.send()
    assert len(case.reactor.opening) == 1
    assert transport.take().startswith(b"GET / ")


def test_connection_that_is_idle_for_long_is_not_used():
    case = _Case()
    case.serve_one()
    case.clock.advance(ms(4000))
    case.send()
    assert len(case.reactor.opening) == 2


def test_request_that_asks_for_a_fresh_connection_leaves_older_ones():
    case = _Case()
    case.serve_one()
    case.clock.advance(ms(1500))
    case.send(longest_idle=ms(1000))
    assert len(case.reactor.opening) == 2


def test_connection_lost_while_idle_is_not_used():
    case = _Case()
    connection, _ = case.serve_one()
    connection.connectionLost(failure.Failure(internet_error.ConnectionDone()))
    case.send()
    assert len(case.reactor.opening) == 2


def test_idle_connections_are_closed_in_time():
    case = _Case()
    _, transport = case.serve_one()
    case.scheduler.advance(ms(6000))
    assert transport.closed == "reset"


def test_refused_connection_means_that_nothing_was_sent():
    case = _Case()
    case.send()
    case.reactor.opening[-1].clientConnectionFailed(
        None, failure.Failure(internet_error.ConnectionRefusedError()))
    assert case.listener.ends == [(False, "connection refused")]


def test_connection_that_does_not_open_in_time_means_the_same():
    case = _Case()
    case.send()
    case.reactor.opening[-1].clientConnectionFailed(
        None, failure.Failure(internet_error.TimeoutError()))
    assert case.listener.ends == [(False, "no connection in time")]


def test_request_given_up_while_connecting_is_never_sent():
    case = _Case()
    exchange = case.send()
    exchange.abort()
    assert case.reactor.connectors[-1].is_stopped
    _, transport = case.reactor.open()
    assert not transport.take()
    assert transport.closed == "reset"
    assert not case.listener.ends
