"""A pool of persistent connections to endpoints."""

import collections.abc
import datetime
import itertools
import typing

from twisted.internet import error as internet_error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.http1 import endpoint_connection
from mustardwood.http1 import exchange as exchange_module
from mustardwood.http1 import http_request
from mustardwood.http1 import path as path_module

_CLEANUP_INTERVAL = datetime.timedelta(seconds=1)
"""Interval at which expired idle connections are closed."""

_Address = tuple[str, int]
_ConnectionList = list[endpoint_connection.EndpointConnection]


class ConnectionPool:
    """Sends requests over idle connections or opens new ones.

    The most recently used idle connection is reused first, unless it has
    carried the request's id before.

    Attributes:
        opened: Number of connections that the pool has started to open.
    """

    def __init__(self,
                 reactor: typing.Any,
                 clock: timing.Clock,
                 scheduler: dispatch.Scheduler,
                 response_memory: dispatch.ResponseMemory | None = None,
                 path: path_module.Path | None = None) -> None:
        """Creates a pool without connections.

        Args:
            reactor: Twisted's reactor.
            clock: The clock by which connections are idle.
            scheduler: Schedules the close of idle connections.
            response_memory: Bounds the buffers of all connections; None for a
                bound of this pool.
            path: Opens the connections; None for direct ones.
        """
        self._path = path or path_module.DirectPath(reactor)
        self._response_memory = response_memory or dispatch.ResponseMemory()
        self._clock = clock
        self._scheduler = scheduler
        self._idle: dict[_Address, _ConnectionList] = {}
        self._open: dict[_Address,
                         set[endpoint_connection.EndpointConnection]] = {}
        self._numbers = itertools.count(1)
        self.opened = 0
        self._close_expired()

    def send(self,
             address: _Address,
             request: http_request.HttpRequest,
             listener: exchange_module.ExchangeListener,
             max_idle_time: datetime.timedelta = datetime.timedelta.max,
             max_body_bytes: int = exchange_module.DEFAULT_MAX_BODY_BYTES,
             before_write: collections.abc.Callable[[], bool] = lambda: False,
             request_id: bytes = b"") -> exchange_module.Exchange:
        """Sends a request.

        Args:
            address: IP address and port.
            request: The request.
            listener: Receives the events of the exchange, but never before this
                call returns.
            max_idle_time: Only a connection that has been idle for less is
                reused.
            max_body_bytes: Size in bytes beyond which the response's body is
                cut off.
            before_write: Called when there is a connection, before a byte of
                the request is written; within this call if a connection is
                reused. If it returns True, the request is held back until
                `Exchange.write` is called.
            request_id: Id by which responses to the request are known; empty if
                there is none.

        Returns:
            The exchange, by which the request can be aborted.
        """
        exchange = exchange_module.Exchange(request, listener, max_body_bytes,
                                            before_write, request_id)
        connection = self._pop_idle(address, max_idle_time, request_id)
        if connection is not None:
            connection.start(exchange)
            return exchange
        self.opened += 1
        factory = _ConnectionFactory(self, address, exchange)
        connector = self._path.connect(address, factory)
        exchange.attach(_PendingConnection(connector), is_connected=False)
        return exchange

    def is_connected_since(self, address: _Address,
                           time: datetime.timedelta) -> bool:
        """Returns whether a connection to an address is open since a time.

        Args:
            address: IP address and port.
            time: Monotonic time.
        """
        return any(
            each.is_open_since(time) for each in self._open.get(address, ()))

    def make_connection(
            self,
            address: _Address,
            first_exchange: exchange_module.Exchange,
            is_relayed: bool = False) -> endpoint_connection.EndpointConnection:
        """Returns the protocol of a new connection that starts an exchange.

        Args:
            address: IP address and port of the endpoint.
            first_exchange: The exchange.
            is_relayed: Whether the connection leads through another VM.
        """
        path = self._path
        connection = endpoint_connection.EndpointConnection(
            self._clock, self._scheduler,
            lambda idle: self._idle.setdefault(address, []).append(idle),
            lambda lost: self._remove(address, lost), first_exchange,
            self._response_memory, next(self._numbers), is_relayed,
            _do_nothing if is_relayed else lambda: path.record_write(address),
            _do_nothing if is_relayed else lambda: path.record_data(address))
        self._open.setdefault(address, set()).add(connection)
        return connection

    def close_idle_connections(self, address: _Address) -> None:
        """Closes the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def _pop_idle(
            self, address: _Address, max_idle_time: datetime.timedelta,
            request_id: bytes) -> endpoint_connection.EndpointConnection | None:
        connections = self._idle.get(address, [])
        now = self._clock.monotonic()
        for connection in reversed(connections.copy()):
            idle_time = now - connection.idle_since
            if (not connection.is_usable or
                    idle_time >= connection.max_idle_time or
                    not self._path.allows_reuse(address,
                                                connection.is_relayed)):
                connections.remove(connection)
                connection.abort()
            elif idle_time >= max_idle_time:
                return None
            elif not connection.has_carried(request_id):
                connections.remove(connection)
                return connection
        return None

    def _remove(self, address: _Address,
                connection: endpoint_connection.EndpointConnection) -> None:
        """Removes a connection that is lost."""
        connections = self._idle.get(address, [])
        if connection in connections:
            connections.remove(connection)
        opened = self._open.get(address, set())
        opened.discard(connection)
        if not opened:
            self._open.pop(address, None)

    def _close_expired(self) -> None:
        now = self._clock.monotonic()
        for address, connections in list(self._idle.items()):
            for connection in list(connections):
                if now - connection.idle_since >= connection.max_idle_time:
                    connections.remove(connection)
                    connection.abort()
            if not connections:
                del self._idle[address]
        self._scheduler.call_later(_CLEANUP_INTERVAL, self._close_expired)


def _do_nothing() -> None:
    """Ignores what happens on a connection through another VM."""


class _PendingConnection:
    """A connection that is being opened."""

    def __init__(self, connector: typing.Any) -> None:
        self._connector = connector

    def write_request(self) -> None:
        """Does nothing; the request is written on the connection."""

    def abort(self) -> None:
        """Stops connecting; no connection is opened."""
        self._connector.disconnect()

    def close(self, on_closed: exchange_module.OnClosed) -> None:
        """Stops connecting; the endpoint has got nothing."""
        self.abort()
        on_closed(True)

    def end_sending(self) -> None:
        """Does nothing; nothing was sent."""

    def pause(self) -> None:
        """Does nothing; a connection that is being opened has no response."""

    def resume(self) -> None:
        """Does nothing; a connection that is being opened has no response."""


class _ConnectionFactory(protocol.ClientFactory):
    """Opens a connection for an exchange."""

    noisy = False

    def __init__(self, pool: ConnectionPool, address: _Address,
                 exchange: exchange_module.Exchange) -> None:
        self._pool = pool
        self._address = address
        self._exchange: exchange_module.Exchange | None = exchange

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol | None:
        """See `protocol.ClientFactory`."""
        # The transport keeps the factory as long as the connection is open.
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return None
        return self._pool.make_connection(self._address, exchange)

    def build_relayed(self) -> protocol.Protocol | None:
        """See `path.EndpointFactory`."""
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return None
        return self._pool.make_connection(self._address,
                                          exchange,
                                          is_relayed=True)

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        has_timed_out = reason.check(internet_error.TimeoutError) is not None
        exchange.fail(
            "no connection in time" if has_timed_out else "connection refused")
