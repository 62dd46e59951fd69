"""One request and its answer on a connection to an endpoint."""

import typing

from mustardwood.http1 import http_request


class ExchangeListener(typing.Protocol):
    """Learns what happens to an exchange."""

    def accepts(self, status: int, headers: http_request.Headers) -> bool:
        """Returns whether an answer belongs to this request.

        An answer that does not is read to its end and dropped.
        """

    def receive_head(self, status: int, headers: http_request.Headers) -> None:
        """Takes the head of the answer."""

    def receive_data(self, data: bytes) -> None:
        """Takes a part of the body."""

    def receive_end(self) -> None:
        """Learns that the answer is complete."""

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Learns that no complete answer will come.

        Args:
            was_sent: Whether a byte of the request may have been received.
            reason: What happened.
        """


class _Abortable(typing.Protocol):

    def abort(self) -> None:
        """Closes the connection at once."""


class Exchange:
    """A handle on an exchange that may still wait for its connection."""

    def __init__(self, message: http_request.HttpRequest,
                 listener: ExchangeListener) -> None:
        self.message = message
        self.listener = listener
        self.is_over = False
        self._connection: _Abortable | None = None

    def attach(self, connection: _Abortable) -> None:
        """Records the connection, or the attempt to connect, under it."""
        self._connection = connection

    def abort(self) -> None:
        """Ends the exchange without further events."""
        if self.is_over:
            return
        self.is_over = True
        if self._connection is not None:
            self._connection.abort()

    def fail(self, was_sent: bool, reason: str) -> None:
        """Tells the listener of a failure, once."""
        if not self.is_over:
            self.is_over = True
            self.listener.receive_failure(was_sent, reason)

    def complete(self) -> None:
        """Tells the listener of the end, once."""
        if not self.is_over:
            self.is_over = True
            self.listener.receive_end()
