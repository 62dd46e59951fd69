"""Sends the response to one request of a caller."""

import collections.abc
import typing

from mustardwood import dispatch
from mustardwood.http1 import http_request


class ResponseConnection(typing.Protocol):
    """The part of a connection that `ResponseWriter` uses."""

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """Sends the status line and the headers of a response."""

    def send_data(self, data: bytes) -> None:
        """Sends a part of the response's body."""

    def send_end(self) -> None:
        """Marks the end of the response."""

    def abort(self) -> None:
        """Resets the connection in the middle of a response."""


class ResponseWriter:
    """Writes the response to one request; implements `dispatch.Caller`.

    After the caller has disconnected, everything that is written is dropped.
    """

    def __init__(self, connection: ResponseConnection) -> None:
        self._connection: ResponseConnection | None = connection
        self._on_disconnect: collections.abc.Callable[[], None] | None = None
        self._on_pause: collections.abc.Callable[[], None] | None = None
        self._on_resume: collections.abc.Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether the response can still be sent or continued."""
        return self._connection is not None

    def set_disconnect_callback(
            self, function: collections.abc.Callable[[], None]) -> None:
        """Sets the function to call if the caller disconnects early.

        It is called when the connection ends before the response is complete.
        """
        self._on_disconnect = function

    def set_flow_callbacks(
            self, on_pause: collections.abc.Callable[[], None],
            on_resume: collections.abc.Callable[[], None]) -> None:
        """Sets the functions that keep a slow caller's response from piling up.

        Args:
            on_pause: Called, possibly within `write`, while more is waiting to
                be sent to the caller than the connection should buffer.
            on_resume: Called when the caller has received it.
        """
        self._on_pause = on_pause
        self._on_resume = on_resume

    def handle_pause(self) -> None:
        """Handles a full send buffer of the connection."""
        if self._connection is not None and self._on_pause is not None:
            self._on_pause()

    def handle_resume(self) -> None:
        """Handles that the send buffer of the connection is empty again."""
        if self._connection is not None and self._on_resume is not None:
            self._on_resume()

    def begin(self, status: int, headers: http_request.Headers,
              length: int | None) -> None:
        """Sends the status line and the headers.

        Args:
            status: HTTP status.
            headers: Headers without Content-Length and Transfer-Encoding.
            length: Length of the body in bytes. None if it is not known yet;
                the body is then sent with chunked encoding.
        """
        if self._connection is None:
            return
        framing = ((b"Transfer-Encoding", b"chunked") if length is None else
                   (b"Content-Length", str(length).encode()))
        self._connection.send_head(status, [*headers, framing])

    def write(self, data: bytes) -> None:
        """Sends a part of the response's body."""
        if self._connection is not None and data:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Completes the response."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.send_end()

    def abort(self) -> None:
        """Resets the connection, so that the caller sees a truncated response.
        """
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def refuse(self, refusal: dispatch.Refusal) -> None:
        """Sends an error response of the router itself."""
        body = refusal.message.encode()
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        if refusal.retry_after is not None:
            seconds = f"{refusal.retry_after.total_seconds():.2f}"
            headers.append((b"Retry-After", seconds.encode()))
        self.begin(refusal.status, headers, len(body))
        self.write(body)
        self.finish()

    def handle_disconnect(self) -> None:
        """Handles the loss of the connection before the response is complete.
        """
        if self._connection is None:
            return
        self._connection = None
        if self._on_disconnect is not None:
            self._on_disconnect()
