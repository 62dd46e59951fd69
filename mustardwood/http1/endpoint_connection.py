"""A connection to an endpoint."""

import collections.abc
import datetime
import re
import typing

import h11
from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import timing
from mustardwood.http1 import exchange as exchange_module
from mustardwood.http1 import http_request
from mustardwood.http1 import socket_options

_MOST_HEAD = 64 * 1024
"""Longest head of an answer; longer ones are taken as garbage."""
_KEEP_ALIVE = re.compile(rb"timeout=(\d+)")
_KEEP_ALIVE_MARGIN = datetime.timedelta(milliseconds=500)
"""Time before the endpoint's own idle timeout at which reuse ends."""
_DEFAULT_IDLE = datetime.timedelta(seconds=4)
"""Idle time up to which a connection is reused if the endpoint names none."""


class EndpointConnection(protocol.Protocol):
    """Carries one exchange at a time and is reused while nothing is odd.

    Attributes:
        idle_since: Monotonic time at which the last exchange ended.
        longest_idle: Idle time up to which the connection may be reused.
    """

    transport: typing.Any

    def __init__(self, clock: timing.Clock,
                 on_idle: collections.abc.Callable[["EndpointConnection"],
                                                   None],
                 on_lost: collections.abc.Callable[["EndpointConnection"],
                                                   None],
                 first: exchange_module.Exchange) -> None:
        self._clock = clock
        self._on_idle = on_idle
        self._on_lost = on_lost
        self._first = first
        self._exchange: exchange_module.Exchange | None = None
        self._http = h11.Connection(h11.CLIENT, _MOST_HEAD)
        self._sent: list[h11.Event] = []
        self._is_skipping = False
        self._is_closed = False
        self.idle_since = clock.monotonic()
        self.longest_idle = _DEFAULT_IDLE

    @property
    def is_usable(self) -> bool:
        """Whether another exchange may begin."""
        return not self._is_closed and self._exchange is None

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        socket_options.watch_peer(self.transport)
        if self._first.is_over:
            self.abort()
        else:
            self.start(self._first)

    def start(self, exchange: exchange_module.Exchange) -> None:
        """Sends the request of an exchange."""
        message = exchange.message
        headers = list(message.headers)
        if message.body or message.method not in ("GET", "HEAD", "DELETE"):
            headers.append((b"Content-Length", str(len(message.body)).encode()))
        self._sent = [
            h11.Request(method=message.method.encode("latin-1"),
                        target=message.target.encode("latin-1"),
                        headers=headers)
        ]
        if message.body:
            self._sent.append(h11.Data(data=message.body))
        self._sent.append(h11.EndOfMessage())
        self._exchange = exchange
        exchange.attach(self)
        self.transport.write(b"".join(
            self._http.send(event) or b"" for event in self._sent))

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self._exchange is None:
            # Bytes outside an exchange belong to no request.
            self.abort()
            return
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        is_clean = reason.check(internet_error.ConnectionDone) is not None
        self._is_closed = True
        if self._exchange is not None and is_clean:
            # The end of the connection may be the end of the answer.
            self._http.receive_data(b"")
            self._read_events()
        exchange, self._exchange = self._exchange, None
        self._on_lost(self)
        if exchange is not None:
            exchange.fail(
                True, "connection closed"
                if is_clean else f"connection lost: {reason.getErrorMessage()}")

    def abort(self) -> None:
        """Closes the connection at once."""
        self._is_closed = True
        self._exchange = None
        self.transport.abortConnection()

    def _read_events(self) -> None:
        while self._exchange is not None:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._fail(f"not an answer: {error}")
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                if not self._is_skipping:
                    self._exchange.listener.receive_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _take_head(self, event: h11.Response) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        headers: http_request.Headers = event.headers.raw_items()
        if not exchange.listener.accepts(event.status_code, headers):
            self._is_skipping = True
            return
        for name, value in event.headers:
            if name == b"keep-alive":
                self._take_keep_alive(value)
        exchange.listener.receive_head(event.status_code, headers)

    def _take_keep_alive(self, value: bytes) -> None:
        found = _KEEP_ALIVE.search(value)
        if found is not None:
            seconds = datetime.timedelta(seconds=int(found.group(1)))
            self.longest_idle = min(_DEFAULT_IDLE, seconds - _KEEP_ALIVE_MARGIN)

    def _take_end(self) -> None:
        if self._is_skipping:
            self._skip_answer()
            return
        exchange, self._exchange = self._exchange, None
        if exchange is None:
            return
        trailing, _ = self._http.trailing_data
        if (self._is_closed or trailing or
                self._http.our_state is not h11.DONE or
                self._http.their_state is not h11.DONE):
            self._is_closed = True
            self.transport.abortConnection()
        else:
            self._http.start_next_cycle()
            self.idle_since = self._clock.monotonic()
            self._on_idle(self)
        exchange.complete()

    def _skip_answer(self) -> None:
        """Reads on for the answer behind one that belongs to no request."""
        self._is_skipping = False
        if self._http.their_state is not h11.DONE:
            self._fail("an answer to another request ended the connection")
            return
        trailing, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT, _MOST_HEAD)
        for event in self._sent:
            self._http.send(event)
        if trailing:
            self._http.receive_data(trailing)

    def _fail(self, reason: str) -> None:
        exchange, self._exchange = self._exchange, None
        self._is_closed = True
        self.transport.abortConnection()
        if exchange is not None:
            exchange.fail(True, reason)
