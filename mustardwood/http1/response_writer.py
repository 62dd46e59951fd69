"""The way back to a caller."""

import collections.abc
import typing

from mustardwood import dispatch
from mustardwood.http1 import http_request


class ResponseConnection(typing.Protocol):
    """The connection under a channel."""

    def send_head(self, status: int, headers: http_request.Headers) -> None:
        """Sends the head of an answer."""

    def send_data(self, data: bytes) -> None:
        """Sends a part of the body."""

    def send_end(self) -> None:
        """Ends the answer."""

    def close_broken(self) -> None:
        """Closes the connection in the middle of an answer."""


class ResponseWriter:
    """Takes the answer to one request; implements `dispatch`'s caller.

    After the caller has gone, everything that is written is dropped.
    """

    def __init__(self, connection: ResponseConnection) -> None:
        self._connection: ResponseConnection | None = connection
        self._on_gone: collections.abc.Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether an answer can still be sent."""
        return self._connection is not None

    def notify_gone(self, function: collections.abc.Callable[[], None]) -> None:
        """Has `function` called when the caller leaves before the end."""
        self._on_gone = function

    def begin(self, status: int, headers: http_request.Headers,
              length: int | None) -> None:
        """Sends the head; `length` is None for a body of unknown length."""
        if self._connection is None:
            return
        framing = ((b"Transfer-Encoding", b"chunked") if length is None else
                   (b"Content-Length", str(length).encode()))
        self._connection.send_head(status, [*headers, framing])

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if self._connection is not None and data:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Ends the answer as complete."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.send_end()

    def abort(self) -> None:
        """Closes the connection, so that the answer is not complete."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close_broken()

    def refuse(self, answer: dispatch.Refusal) -> None:
        """Sends an answer of the router's own."""
        body = answer.message.encode()
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        if answer.retry_after is not None:
            seconds = f"{answer.retry_after.total_seconds():.2f}"
            headers.append((b"Retry-After", seconds.encode()))
        self.begin(answer.status, headers, len(body))
        self.write(body)
        self.finish()

    def lose_caller(self) -> None:
        """Learns that the connection has ended before the answer."""
        if self._connection is None:
            return
        self._connection = None
        if self._on_gone is not None:
            self._on_gone()
