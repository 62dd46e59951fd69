"""Tests of the reuse, failure and cancellation of pooled connections."""

import datetime
import gc
import weakref

from twisted.internet import error as internet_error
from twisted.python import failure

from mustardwood import http1
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.http1.tests import fake_transport

ms = harness_module.ms
_ADDRESS = ("192.0.2.1", 8000)
_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


class _Connector:

    def __init__(self):
        self.is_disconnected = False

    def disconnect(self):
        """Records that connecting was stopped."""
        self.is_disconnected = True


class _Reactor:
    """Records the connections that the pool opens."""

    def __init__(self):
        self.factories = []
        self.connectors = []

    def connectTCP(  # pylint: disable=invalid-name
            self, host, port, factory, timeout):
        """Records a connection attempt."""
        del host, port, timeout
        self.factories.append(factory)
        self.connectors.append(_Connector())
        return self.connectors[-1]

    def complete_connect(self):
        """Completes the last connection attempt.

        Returns:
            The connection and its transport.
        """
        connection = self.factories[-1].buildProtocol(None)
        connection.makeConnection(fake_transport.FakeTransport())
        return connection, connection.transport


class _Listener:

    def __init__(self):
        self.ends = []

    def accepts(self, status, headers):
        """Accepts every response."""
        del status, headers
        return True

    def receive_head(self, status, headers):
        """Ignores the head."""

    def receive_data(self, data):
        """Ignores the body."""

    def receive_end(self):
        """Records the end of the response."""
        self.ends.append("complete")

    def receive_failure(self, was_sent, reason):
        """Records the failure."""
        self.ends.append((was_sent, reason))


class _Harness:

    def __init__(self):
        self.clock = timing.ManualClock()
        self.scheduler = harness_module.FakeScheduler(self.clock)
        self.reactor = _Reactor()
        self.pool = http1.ConnectionPool(self.reactor, self.clock,
                                         self.scheduler)
        self.listener = _Listener()

    def send(self,
             max_idle_time=datetime.timedelta.max,
             before_write=lambda: None,
             request_id=b""):
        """Sends a request."""
        return self.pool.send(_ADDRESS,
                              http1.HttpRequest("GET", "/", [(b"Host", b"h")]),
                              self.listener,
                              max_idle_time,
                              before_write=before_write,
                              request_id=request_id)

    def complete_request(self, request_id=b""):
        """Sends a request on a new connection and delivers its response."""
        self.send(request_id=request_id)
        connection, transport = self.reactor.complete_connect()
        transport.pop_written()
        connection.dataReceived(_RESPONSE)
        return connection, transport


def test_idle_connection_is_reused_for_the_next_request():
    harness = _Harness()
    _, transport = harness.complete_request()
    harness.send()
    assert len(harness.reactor.factories) == 1
    assert transport.pop_written().startswith(b"GET / ")


def test_connection_is_not_reused_for_an_id_that_it_has_carried():
    """A late copy of the response to the id would be taken for the new one."""
    harness = _Harness()
    harness.complete_request(b"a")
    harness.send(request_id=b"a")
    assert len(harness.reactor.factories) == 2


def test_connection_that_has_carried_an_id_is_reused_for_other_requests():
    harness = _Harness()
    _, first = harness.complete_request(b"a")
    harness.send(request_id=b"a")
    harness.reactor.complete_connect()
    harness.send(request_id=b"b")
    assert len(harness.reactor.factories) == 2
    assert first.pop_written().startswith(b"GET / ")


def test_older_connection_is_reused_if_the_last_one_has_carried_the_id():
    harness = _Harness()
    exchanges = [harness.send(request_id=each) for each in (b"a", b"b")]
    connections = [
        factory.buildProtocol(None) for factory in harness.reactor.factories
    ]
    for each in connections:
        each.makeConnection(fake_transport.FakeTransport())
        each.dataReceived(_RESPONSE)
    assert all(each.is_finished for each in exchanges)
    assert harness.send(request_id=b"b").connection_number == 1


def test_connection_is_closed_after_its_maximum_number_of_ids():
    harness = _Harness()
    connection, transport = harness.complete_request(b"0")
    for number in range(1, 1000):
        harness.send(request_id=b"%d" % number)
        connection.dataReceived(_RESPONSE)
    assert len(harness.reactor.factories) == 1
    assert transport.closed == "reset"


def test_exchange_has_the_number_of_its_connection():
    harness = _Harness()
    harness.complete_request()
    first, second = harness.send(), harness.send()
    harness.reactor.complete_connect()
    assert (first.connection_number, second.connection_number) == (1, 2)


def test_connection_past_its_maximum_idle_time_is_not_reused():
    harness = _Harness()
    harness.complete_request()
    harness.clock.advance(ms(4000))
    harness.send()
    assert len(harness.reactor.factories) == 2


def test_max_idle_time_of_a_request_excludes_longer_idle_connections():
    harness = _Harness()
    harness.complete_request()
    harness.clock.advance(ms(1500))
    harness.send(max_idle_time=ms(1000))
    assert len(harness.reactor.factories) == 2


def test_connection_lost_while_idle_is_not_reused():
    harness = _Harness()
    connection, _ = harness.complete_request()
    connection.connectionLost(failure.Failure(internet_error.ConnectionDone()))
    harness.send()
    assert len(harness.reactor.factories) == 2


def test_expired_idle_connection_is_closed():
    harness = _Harness()
    _, transport = harness.complete_request()
    harness.scheduler.advance(ms(6000))
    assert transport.closed == "reset"


def test_refused_connection_is_reported_as_nothing_sent():
    harness = _Harness()
    harness.send()
    harness.reactor.factories[-1].clientConnectionFailed(
        None, failure.Failure(internet_error.ConnectionRefusedError()))
    assert harness.listener.ends == [(False, "connection refused")]


def test_connect_timeout_is_reported_as_nothing_sent():
    harness = _Harness()
    harness.send()
    harness.reactor.factories[-1].clientConnectionFailed(
        None, failure.Failure(internet_error.TimeoutError()))
    assert harness.listener.ends == [(False, "no connection in time")]


def test_request_aborted_while_connecting_is_never_sent():
    harness = _Harness()
    exchange = harness.send()
    exchange.abort()
    assert harness.reactor.connectors[-1].is_disconnected
    _, transport = harness.reactor.complete_connect()
    assert not transport.pop_written()
    assert transport.closed == "reset"
    assert not harness.listener.ends


def test_late_response_to_an_aborted_request_does_not_reach_the_next_one():
    """Failure: a hedged request lost, and its connection is kept; the response
    that is still sent on it would be taken for that of the next caller."""
    harness = _Harness()
    connection, transport = harness.complete_request()
    loser = harness.send()
    assert transport.pop_written().startswith(b"GET / ")
    loser.abort()
    assert transport.closed == "reset"
    harness.send()
    assert len(harness.reactor.factories) == 2
    next_connection, _ = harness.reactor.complete_connect()
    connection.dataReceived(_RESPONSE)
    assert harness.listener.ends == ["complete"]
    next_connection.dataReceived(_RESPONSE)
    assert harness.listener.ends == ["complete", "complete"]


def test_nothing_is_written_before_the_callback():
    harness = _Harness()
    calls = []
    harness.send(before_write=lambda: calls.append("new"))
    assert not calls
    harness.reactor.complete_connect()
    assert calls == ["new"]
    _, transport = harness.complete_request()
    transport.pop_written()
    harness.send(before_write=lambda: calls.append(transport.value()))
    assert calls == ["new", b""]
    assert transport.pop_written()


def test_aborted_exchange_is_closed_at_once():
    """The event loop may not run for a while after the abort."""
    harness = _Harness()
    exchange = harness.send()
    _, transport = harness.reactor.complete_connect()
    exchange.abort()
    assert transport.is_shut_down
    assert transport.closed == "reset"


def test_exchange_that_is_paused_before_it_has_a_connection_is_not_read():
    harness = _Harness()
    exchange = harness.send()
    exchange.pause()
    connection, transport = harness.reactor.complete_connect()
    assert transport.producerState == "paused"
    exchange.resume()
    assert transport.producerState == "producing"
    connection.dataReceived(_RESPONSE)
    assert harness.listener.ends == ["complete"]


def test_exchange_that_is_aborted_before_it_is_written_is_not_written():
    harness = _Harness()
    exchanges = []

    def abort():
        exchanges[0].abort()

    exchanges.append(harness.send(before_write=abort))
    _, transport = harness.reactor.complete_connect()
    assert not transport.value()
    assert transport.closed == "reset"


def test_request_that_is_held_back_is_written_once_by_its_owner():
    harness = _Harness()
    exchange = harness.send(before_write=lambda: True)
    connection, transport = harness.reactor.complete_connect()
    assert exchange.is_connected and not exchange.is_written
    assert not transport.value()
    exchange.write()
    exchange.write()
    assert transport.pop_written().count(b"GET / ") == 1
    connection.dataReceived(_RESPONSE)
    assert harness.listener.ends == ["complete"]


def test_connection_lost_before_a_held_request_is_reported_as_nothing_sent():
    harness = _Harness()
    harness.send(before_write=lambda: True)
    connection, _ = harness.reactor.complete_connect()
    connection.connectionLost(failure.Failure(internet_error.ConnectionDone()))
    assert harness.listener.ends == [(False, "connection closed")]


def test_data_before_a_held_request_is_no_response_to_it():
    harness = _Harness()
    exchange = harness.send(before_write=lambda: True)
    connection, transport = harness.reactor.complete_connect()
    connection.dataReceived(_RESPONSE)
    assert harness.listener.ends == [(False, "data before the request")]
    exchange.write()
    assert not transport.value()


def test_held_request_that_was_aborted_is_not_written():
    harness = _Harness()
    exchange = harness.send(before_write=lambda: True)
    _, transport = harness.reactor.complete_connect()
    exchange.abort()
    exchange.write()
    assert not transport.value()
    assert transport.closed == "reset"


def test_exchange_closed_while_connecting_has_reached_no_endpoint():
    harness = _Harness()
    exchange = harness.send()
    closed = []
    exchange.close(closed.append)
    assert closed == [True]
    assert harness.reactor.connectors[-1].is_disconnected


def test_idle_connection_keeps_no_request():
    """Requests with long bodies would stay in memory while it is open."""
    harness = _Harness()
    exchange = weakref.ref(harness.send())
    connection, transport = harness.reactor.complete_connect()
    transport.pop_written()
    connection.dataReceived(_RESPONSE)
    gc.collect()
    assert exchange() is None
    assert connection.is_usable


def test_open_connection_shows_since_when_its_endpoint_has_not_restarted():
    harness = _Harness()
    harness.clock.advance(ms(100))
    harness.send()
    assert not harness.pool.is_connected_since(_ADDRESS, ms(1000))
    connection, _ = harness.reactor.complete_connect()
    assert harness.pool.is_connected_since(_ADDRESS, ms(100))
    assert not harness.pool.is_connected_since(_ADDRESS, ms(99))
    assert not harness.pool.is_connected_since(("192.0.2.2", 8000), ms(100))
    connection.dataReceived(_RESPONSE)
    assert harness.pool.is_connected_since(_ADDRESS, ms(100))
    connection.connectionLost(failure.Failure(internet_error.ConnectionLost()))
    assert not harness.pool.is_connected_since(_ADDRESS, ms(100))


def test_connection_that_was_reset_shows_nothing_of_its_endpoint():
    harness = _Harness()
    exchange = harness.send()
    harness.reactor.complete_connect()
    exchange.abort()
    assert not harness.pool.is_connected_since(_ADDRESS, ms(1000))
