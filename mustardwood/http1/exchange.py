"""One request to an endpoint and the response to it."""

import collections.abc
import typing

from mustardwood.http1 import http_request

DEFAULT_MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of a response's body in bytes, unless the caller sets another.

A longer body counts as one without end, which would take up the VM until the
request's deadline.
"""


class ExchangeListener(typing.Protocol):
    """Receives the events of an exchange."""

    def accepts(self, status: int, headers: http_request.Headers) -> bool:
        """Returns whether a response belongs to this exchange's request.

        A response to another request is read to its end and discarded.
        """

    def receive_head(self, status: int, headers: http_request.Headers) -> None:
        """Handles the status and the headers of the response."""

    def receive_data(self, data: bytes) -> None:
        """Handles a part of the response's body."""

    def receive_end(self) -> None:
        """Handles the end of a complete response."""

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Handles a failure; no complete response will be received.

        Args:
            was_sent: Whether any byte of the request was written.
            reason: Description of the failure, for the log.
        """


OnClosed = collections.abc.Callable[[bool], None]
"""Receives whether the endpoint has closed its side of a connection in time.

An endpoint that has closed it no longer works on the request.
"""


class _Connection(typing.Protocol):

    def write_request(self) -> None:
        """Writes the request of the exchange."""

    def abort(self) -> None:
        """Closes the connection, or stops connecting, immediately."""

    def close(self, on_closed: OnClosed) -> None:
        """Closes the connection when the endpoint has, or after a time.

        Args:
            on_closed: Called once then, possibly within this call.
        """

    def end_sending(self) -> None:
        """Closes the sending direction of the connection."""

    def pause(self) -> None:
        """Stops reading from the connection."""

    def resume(self) -> None:
        """Reads from the connection again."""


class Exchange:
    """A request in progress, which may still be waiting for a connection.

    Attributes:
        request: The request to send.
        listener: Receives the events of the exchange.
        max_body_bytes: Size in bytes beyond which the response's body is cut
            off.
        before_write: Called when there is a connection, before a byte of the
            request is written; it may abort the exchange. If it returns True,
            the request is held back until `write` is called.
        request_id: Id by which responses to the request are known; empty if
            there is none.
        is_finished: Whether the exchange was completed, failed or aborted.
        is_connected: Whether it has a connection.
        is_written: Whether a byte of the request may have been written.
        is_response_invalid: Whether it failed because of what the endpoint
            sent, and not because the connection was lost.
        is_close_delimited: Whether the response has neither a length nor chunks
            and ends with its connection; False before the response's head.
        connection_number: Number of its connection, unique in the pool; 0 if it
            has none.
        discarded_responses: Number of responses to other requests that arrived
            before its own.
    """

    def __init__(self,
                 request: http_request.HttpRequest,
                 listener: ExchangeListener,
                 max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
                 before_write: collections.abc.Callable[[],
                                                        bool] = lambda: False,
                 request_id: bytes = b"") -> None:
        self.request_id = request_id
        self.request = request
        self.listener = listener
        self.max_body_bytes = max_body_bytes
        self.before_write = before_write
        self.is_finished = False
        self.is_connected = False
        self.is_written = False
        self.is_response_invalid = False
        self.is_close_delimited = False
        self.connection_number = 0
        self.discarded_responses = 0
        self._is_paused = False
        self._connection: _Connection | None = None

    def attach(self, connection: _Connection, is_connected: bool) -> None:
        """Sets the connection or pending connection that `abort` closes."""
        self._connection = connection
        self.is_connected = is_connected
        if self._is_paused:
            connection.pause()

    def write(self) -> None:
        """Writes a request that was held back, unless it was aborted."""
        if not self.is_finished and self._connection is not None:
            self._connection.write_request()

    def close(self, on_closed: OnClosed) -> None:
        """Closes the connection when the endpoint has, or after a time.

        The listener receives no further events. An exchange that has failed may
        be closed, too, to learn when the endpoint has closed its connection.

        Args:
            on_closed: Called once then, possibly within this call.
        """
        self.is_finished = True
        if self._connection is None:
            on_closed(True)
        else:
            self._connection.close(on_closed)

    def abort(self) -> None:
        """Closes the connection; the listener receives no further events."""
        if self.is_finished:
            return
        self.is_finished = True
        if self._connection is not None:
            self._connection.abort()

    def end_sending(self) -> None:
        """Closes the sending direction; the response is still read.

        The endpoint may drop the request, so the end of a response without a
        length counts as a lost connection.
        """
        if not self.is_finished and self._connection is not None:
            self._connection.end_sending()

    def pause(self) -> None:
        """Stops reading the response; what was read is still delivered."""
        self._is_paused = True
        if not self.is_finished and self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Reads the response again."""
        self._is_paused = False
        if not self.is_finished and self._connection is not None:
            self._connection.resume()

    def fail(self, reason: str) -> None:
        """Reports a failure to the listener unless the exchange is finished."""
        if not self.is_finished:
            self.is_finished = True
            self.listener.receive_failure(self.is_written, reason)

    def complete(self) -> None:
        """Reports the end to the listener unless the exchange is finished."""
        if not self.is_finished:
            self.is_finished = True
            # The connection may serve another exchange from now on.
            self._connection = None
            self.listener.receive_end()
