"""Kept connections to endpoints."""

import datetime
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

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
"""Longest time to connect: a hundred round trips between zones."""
_SWEEP_INTERVAL = datetime.timedelta(seconds=1)

_Address = tuple[str, int]
_Connections = list[endpoint_connection.EndpointConnection]


class ConnectionPool:
    """Reuses connections, the last used first, and opens new ones."""

    def __init__(self, reactor: typing.Any, clock: timing.Clock,
                 scheduler: dispatch.Scheduler) -> None:
        self._reactor = reactor
        self._clock = clock
        self._scheduler = scheduler
        self._idle: dict[_Address, _Connections] = {}
        self.opened = 0
        self._sweep()

    def send(
        self,
        address: _Address,
        message: http_request.HttpRequest,
        listener: exchange_module.ExchangeListener,
        longest_idle: datetime.timedelta = datetime.timedelta.max
    ) -> exchange_module.Exchange:
        """Sends a request.

        Args:
            address: IP address and port.
            message: The request.
            listener: Gets the events, never before this call returns.
            longest_idle: Idle time up to which a kept connection is used.
        """
        exchange = exchange_module.Exchange(message, listener)
        kept = self._take_idle(address, longest_idle)
        if kept is not None:
            kept.start(exchange)
            return exchange
        self.opened += 1
        factory = _Factory(self, address, exchange)
        connector = self._reactor.connectTCP(
            *address, factory, timeout=CONNECT_TIMEOUT.total_seconds())
        exchange.attach(_Connecting(connector))
        return exchange

    def make_connection(
        self, address: _Address, first: exchange_module.Exchange
    ) -> endpoint_connection.EndpointConnection:
        """Returns the protocol for a new connection and its first exchange."""
        return endpoint_connection.EndpointConnection(
            self._clock,
            lambda kept: self._idle.setdefault(address, []).append(kept),
            lambda lost: self._drop(address, lost), first)

    def close_address(self, address: _Address) -> None:
        """Closes the kept connections to an address."""
        for kept in self._idle.pop(address, []):
            kept.abort()

    def _take_idle(
        self, address: _Address, longest_idle: datetime.timedelta
    ) -> endpoint_connection.EndpointConnection | None:
        kept = self._idle.get(address, [])
        now = self._clock.monotonic()
        while kept:
            connection = kept.pop()
            idle = now - connection.idle_since
            if connection.is_usable and idle < connection.longest_idle:
                if idle < longest_idle:
                    return connection
                kept.append(connection)
                return None
            connection.abort()
        return None

    def _drop(self, address: _Address,
              lost: endpoint_connection.EndpointConnection) -> None:
        kept = self._idle.get(address, [])
        if lost in kept:
            kept.remove(lost)

    def _sweep(self) -> None:
        now = self._clock.monotonic()
        for address, kept in list(self._idle.items()):
            for each in list(kept):
                if now - each.idle_since >= each.longest_idle:
                    kept.remove(each)
                    each.abort()
            if not kept:
                del self._idle[address]
        self._scheduler.call_later(_SWEEP_INTERVAL, self._sweep)


class _Connecting:
    """A connection that is being opened."""

    def __init__(self, connector: typing.Any) -> None:
        self._connector = connector

    def abort(self) -> None:
        """Stops connecting."""
        self._connector.disconnect()


class _Factory(protocol.ClientFactory):
    """Starts an exchange on a new connection."""

    noisy = False

    def __init__(self, pool: ConnectionPool, address: _Address,
                 exchange: exchange_module.Exchange) -> None:
        self._pool = pool
        self._address = address
        self._exchange = exchange

    def buildProtocol(  # pylint: disable=invalid-name
            self, addr: typing.Any) -> protocol.Protocol:
        """See `protocol.ClientFactory`."""
        return self._pool.make_connection(self._address, self._exchange)

    def clientConnectionFailed(  # pylint: disable=invalid-name
            self, connector: interfaces.IConnector,
            reason: failure.Failure) -> None:
        """See `protocol.ClientFactory`."""
        silent = reason.check(internet_error.TimeoutError) is not None
        self._exchange.fail(
            False, "no connection in time" if silent else "connection refused")
