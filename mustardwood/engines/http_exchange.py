"""One HTTP request to an endpoint and its response."""

import http
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client

from mustardwood import routing
from mustardwood.engines import endpoint_client
from mustardwood.engines import sse_parser

_NOT_SENT_ERRORS = (error.ConnectError, error.DNSLookupError,
                    error.ConnectionRefusedError)

_MIN_STATUS = 100
_MAX_STATUS = 599
"""Bounds of the valid status codes [1]_.

References:
    .. [1] R. Fielding, M. Nottingham and J. Reschke, "HTTP Semantics", RFC
       9110, 2022, section 15.
"""


class HttpExchange:
    """Reports the response to a request until it ends or is cancelled.

    Attributes:
        expects_events: Whether a response with status 200 is a stream of
            server-sent events.
    """

    def __init__(self, receiver: endpoint_client.ResponseReceiver, *,
                 expects_events: bool) -> None:
        self.expects_events = expects_events
        self._receiver = receiver
        self._ended = False
        self._pending_response: defer.Deferred | None = None
        self._body: _BodyReader | None = None

    def track_response(self, pending_response: defer.Deferred) -> None:
        """Reports a pending response of Twisted's `Agent` to the receiver."""
        self._pending_response = pending_response
        pending_response.addCallbacks(self._handle_response,
                                      self._handle_failure)
        pending_response.addErrback(self._handle_failure)

    def cancel(self) -> None:
        """Closes the connection; the receiver gets no further calls."""
        if self._ended:
            return
        self._ended = True
        if self._body is not None:
            self._body.close()
        elif self._pending_response is not None:
            self._pending_response.cancel()

    def handle_body(self, data: bytes) -> None:
        """Passes a part of the body to the receiver."""
        if not self._ended:
            self._receiver.handle_body(data)

    def handle_events(self, parts: list[bytes]) -> None:
        """Passes the data of events to the receiver."""
        if parts and not self._ended:
            self._receiver.handle_events(parts)

    def finish(self, end: routing.AttemptEnd) -> None:
        """Reports the end of the exchange to the receiver, at most once."""
        if not self._ended:
            self._ended = True
            self._receiver.handle_end(end)

    def _handle_response(self, response: typing.Any) -> None:
        if self._ended:
            return
        if not _MIN_STATUS <= response.code <= _MAX_STATUS:
            response.deliverBody(_Discard())
            self.finish(routing.AttemptEnd.MALFORMED)
            return
        headers = tuple(
            (name.decode("latin-1").lower(), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values)
        self._receiver.handle_head(response.code, headers)
        is_stream = self.expects_events and response.code == http.HTTPStatus.OK
        self._body = _BodyReader(self, is_stream=is_stream)
        response.deliverBody(self._body)

    def _handle_failure(self, reason: failure.Failure) -> None:
        self.finish(_classify_failure(reason))


class _BodyReader(protocol.Protocol):  # pylint: disable=invalid-name
    """Reads the body of a response, and parses it if it is an event stream."""

    def __init__(self, exchange: HttpExchange, *, is_stream: bool) -> None:
        self._exchange = exchange
        self._parser = sse_parser.SseParser() if is_stream else None

    def close(self) -> None:
        """Closes the connection."""
        if self.transport is not None:
            typing.cast(typing.Any, self.transport).loseConnection()

    def dataReceived(self, data: bytes) -> None:
        """Handles a part of the body."""
        if self._parser is None:
            self._exchange.handle_body(data)
            return
        try:
            events = self._parser.feed(data)
        except sse_parser.EventTooLongError:
            self._exchange.finish(routing.AttemptEnd.MALFORMED)
            self.close()
            return
        self._exchange.handle_events(events)

    def connectionLost(self,
                       reason: failure.Failure = protocol.connectionDone
                      ) -> None:
        """Handles the end of the body."""
        if reason.check(client.ResponseDone):
            self._exchange.finish(routing.AttemptEnd.COMPLETE)
        else:
            self._exchange.finish(_classify_failure(reason))


class _Discard(protocol.Protocol):
    """Closes the connection of a response that is not read."""

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        typing.cast(typing.Any, self.transport).loseConnection()


def _classify_failure(reason: failure.Failure) -> routing.AttemptEnd:
    if reason.check(*_NOT_SENT_ERRORS):
        return routing.AttemptEnd.NOT_SENT
    causes: list[typing.Any] = getattr(reason.value, "reasons",
                                       None) or [reason]
    connection_errors = (error.ConnectionLost, error.ConnectionDone)
    if any(each.check(*connection_errors) for each in causes):
        return routing.AttemptEnd.LOST
    return routing.AttemptEnd.MALFORMED
