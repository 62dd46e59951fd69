"""A connection from a caller."""

import collections.abc
import datetime
import http
import typing

import h11
from twisted.internet import protocol
from twisted.python import failure

from mustardwood import dispatch
from mustardwood.http1 import http_request
from mustardwood.http1 import request_handler
from mustardwood.http1 import response_writer
from mustardwood.http1 import socket_options

_LINGER = datetime.timedelta(seconds=1)
"""Time in which the rest of a refused request is read and dropped.

Closing with unread bytes would reset the connection and lose the answer.
"""
_MOST_UNREAD = 1024 * 1024
"""Bytes that a caller may send ahead of the answer to its last request."""


class CallerConnection(protocol.Protocol):
    """Reads requests one after the other and sends their answers."""

    transport: typing.Any

    def __init__(self, service: request_handler.RequestHandler,
                 scheduler: dispatch.Scheduler) -> None:
        self._service = service
        self._scheduler = scheduler
        limits = service.find_limits()
        self._http = h11.Connection(h11.SERVER, limits.header_bytes)
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._channel: response_writer.ResponseWriter | None = None
        self._timer: dispatch.Timer | None = None
        self._has_bytes = False
        self._is_lingering = False
        self._unread = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return (self._channel is None and self._request is None and
                not self._has_bytes)

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        socket_options.watch_peer(self.transport)
        self._service.add_connection(self)
        self._arm(self._service.find_limits().idle_time, self.close)

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self._is_lingering:
            return
        if self._channel is not None:
            self._unread += len(data)
            if self._unread > _MOST_UNREAD:
                self.transport.abortConnection()
                return
        elif not self._has_bytes:
            self._has_bytes = True
            self._arm(self._service.find_limits().header_time,
                      self._refuse_slow_head)
        self._http.receive_data(data)
        self._read_events()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        self._cancel_timer()
        self._service.remove_connection(self)
        channel, self._channel = self._channel, None
        if channel is not None:
            channel.lose_caller()

    def close(self) -> None:
        """Closes the connection between requests."""
        self._cancel_timer()
        self.transport.loseConnection()

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """See `response_writer.ResponseConnection`."""
        sent = list(headers)
        if self._service.is_stopping():
            sent.append((b"Connection", b"close"))
        self._send(
            h11.Response(status_code=status,
                         headers=sent,
                         reason=_find_phrase(status)))

    def send_data(self, data: bytes) -> None:
        """See `response_writer.ResponseConnection`."""
        self._send(h11.Data(data=data))

    def send_end(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._send(h11.EndOfMessage())
        self._channel = None
        self._request = None
        self._body.clear()
        self._unread = 0
        if (self._service.is_stopping() or
                self._http.our_state is not h11.DONE or
                self._http.their_state is not h11.DONE):
            self._linger()
            return
        self._http.start_next_cycle()
        self._has_bytes = bool(self._http.trailing_data[0])
        limits = self._service.find_limits()
        if self._has_bytes:
            self._arm(limits.header_time, self._refuse_slow_head)
        else:
            self._arm(limits.idle_time, self.close)
        self._read_events()

    def close_broken(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._channel = None
        self._cancel_timer()
        self.transport.abortConnection()

    def _read_events(self) -> None:
        while self._channel is None and not self._is_lingering:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error.error_status_hint or 400,
                             f"The request can't be read: {error}.")
                return
            if event is h11.NEED_DATA:
                self._ask_for_body()
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._take_data(event)
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()

    def _ask_for_body(self) -> None:
        if self._http.they_are_waiting_for_100_continue:
            self._send(
                h11.InformationalResponse(status_code=100,
                                          headers=[],
                                          reason=b"Continue"))

    def _take_head(self, event: h11.Request) -> None:
        self._request = event
        names = {name for name, _ in event.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            self._refuse(
                http.HTTPStatus.BAD_REQUEST,
                "The request has a length and chunks; send one of them.")
            return
        self._arm(self._service.find_limits().idle_time, self._refuse_slow_head)

    def _take_data(self, event: h11.Data) -> None:
        self._body += event.data
        limits = self._service.find_limits()
        if len(self._body) > limits.body_bytes:
            self._refuse(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                         f"The body is longer than {limits.body_bytes} bytes.")
            return
        self._arm(limits.idle_time, self._refuse_slow_head)

    def _take_end(self) -> None:
        request = self._request
        if request is None:
            return
        self._cancel_timer()
        self._has_bytes = False
        channel = response_writer.ResponseWriter(self)
        self._channel = channel
        message = http_request.HttpRequest(request.method.decode("latin-1"),
                                           request.target.decode("latin-1"),
                                           request.headers.raw_items(),
                                           bytes(self._body))
        self._service.handle_request(message, channel)

    def _refuse_slow_head(self) -> None:
        self._refuse(http.HTTPStatus.REQUEST_TIMEOUT,
                     "The request did not arrive in time; it has not run.")

    def _refuse(self, status: int, text: str) -> None:
        """Answers a request that can't be read, and ends the connection."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.abortConnection()
            return
        channel = response_writer.ResponseWriter(_Closing(self))
        channel.refuse(dispatch.Refusal(http.HTTPStatus(status), text))

    def send_last_head(self, status: int,
                       headers: http_request.Headers) -> None:
        """Sends the head of the last answer on this connection."""
        self._send(
            h11.Response(status_code=status,
                         headers=[*headers, (b"Connection", b"close")],
                         reason=_find_phrase(status)))

    def end_last_answer(self) -> None:
        """Ends the last answer on this connection."""
        self._send(h11.EndOfMessage())
        self._linger()

    def _linger(self) -> None:
        self._is_lingering = True
        self.transport.loseWriteConnection()
        self._arm(_LINGER, self.transport.abortConnection)

    def _send(self, event: h11.Event) -> None:
        data = self._http.send(event)
        if data:
            self.transport.write(data)

    def _arm(self, delay: datetime.timedelta,
             function: collections.abc.Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._scheduler.call_later(delay, function)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _Closing:
    """Sends an answer after which the connection ends."""

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.send_last_head(status, headers)

    def send_data(self, data: bytes) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.send_data(data)

    def send_end(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.end_last_answer()

    def close_broken(self) -> None:
        """See `response_writer.ResponseConnection`."""
        self._connection.close_broken()


def _find_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""
