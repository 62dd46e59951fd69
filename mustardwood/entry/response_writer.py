"""Writes the response to one request of a caller."""

import collections.abc
import http
import typing

from twisted.internet import defer
from twisted.web import server

from mustardwood import errors
from mustardwood.entry import error_body

MAX_UNSENT_BYTES = 1024 * 1024
"""Maximum size of stream data that is buffered for a slow caller.

The connection is aborted when more is waiting.
"""

_EVENT_STREAM = "text/event-stream"


class ResponseWriter:
    """Writes the response to a request on the caller's connection.

    After the caller has disconnected, everything that is written is dropped.

    Attributes:
        done: Fires when the response has been written completely; never if the
            caller disconnects before that.
    """

    def __init__(self, request: server.Request, request_id: str,
                 is_draining: collections.abc.Callable[[], bool]) -> None:
        self.done: defer.Deferred[None] = defer.Deferred(lambda _: None)
        self._request = request
        self._request_id = request_id
        self._is_draining = is_draining
        self._is_streaming = False
        self._is_open = True
        self._is_paused = False
        self._unsent_bytes = 0

    # The three names below are defined by Twisted's IPushProducer.
    # pylint: disable=invalid-name

    def pauseProducing(self) -> None:
        """Starts counting unsent bytes: the caller reads too slowly."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Stops counting: the caller has received what was written."""
        self._is_paused = False
        self._unsent_bytes = 0

    def stopProducing(self) -> None:
        """Does nothing: `handle_disconnect` reports a lost connection."""

    # pylint: enable=invalid-name

    def handle_disconnect(self) -> None:
        """Drops everything that is written from now on."""
        self._is_open = False

    def send_stream_data(self, data: bytes, *, replay: bool) -> None:
        """Writes a part of an event stream.

        The first part is preceded by status 200 and the headers.

        Args:
            data: Encoded server-sent events.
            replay: Whether the response is the stored one of an earlier request
                with the same idempotency key.
        """
        if not self._is_open:
            return
        if not self._is_streaming:
            self._is_streaming = True
            headers = [("content-type", _EVENT_STREAM),
                       ("cache-control", "no-store")]
            if replay:
                headers.append(("x-idempotent-replay", "1"))
            self._write_head(http.HTTPStatus.OK, headers)
            self._request.registerProducer(self, True)
        self._request.write(data)
        if self._is_paused:
            self._enforce_unsent_limit(len(data))

    def end_stream(self) -> None:
        """Ends an event stream."""
        self._finish()

    def send_response(self, status: int,
                      headers: collections.abc.Iterable[tuple[str, str]],
                      body: bytes) -> None:
        """Writes a complete response."""
        if not self._is_open:
            return
        self._write_head(status, headers)
        self._request.setHeader("content-length", str(len(body)))
        self._request.write(body)
        self._finish()

    def send_error(self, error: errors.RequestError) -> None:
        """Writes the final error, as an event if a stream has been started."""
        body = error_body.encode_error(error, self._request_id)
        if self._is_streaming and self._is_open:
            self._request.write(b"data: " + body + b"\n\n")
            self._finish()
        else:
            self.send_response(error.status, error_body.make_headers(error),
                               body)

    def _write_head(self, status: int,
                    headers: collections.abc.Iterable[tuple[str, str]]) -> None:
        self._request.setResponseCode(status)
        self._request.defaultContentType = None
        response_headers = self._request.responseHeaders
        pairs = list(headers)
        for name in ("server", "content-type", *(name for name, _ in pairs)):
            response_headers.removeHeader(name)
        for name, value in pairs:
            response_headers.addRawHeader(name, value)
        response_headers.setRawHeaders("x-request-id", [self._request_id])
        if self._is_draining():
            response_headers.setRawHeaders("connection", ["close"])
            channel: typing.Any = self._request.channel
            channel.persistent = False

    def _enforce_unsent_limit(self, size: int) -> None:
        self._unsent_bytes += size
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            channel: typing.Any = self._request.channel
            channel.transport.abortConnection()

    def _finish(self) -> None:
        if self._is_open:
            self._is_open = False
            if self._is_streaming:
                self._request.unregisterProducer()
            self.done.callback(None)
