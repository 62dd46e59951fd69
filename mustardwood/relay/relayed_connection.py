"""The connection to an endpoint inside a tunnel."""

import typing

from twisted.internet import error as internet_error
from twisted.internet import protocol
from twisted.python import failure

from mustardwood.http1 import chunk_decoder

_MAX_SIZE_LINE_BYTES = 32
"""Maximum size of the line before a chunk, which is written by another VM."""


class RelayedConnection(protocol.Protocol):
    """Passes on what the endpoint sends, and the end of its connection.

    Only the last chunk tells that the endpoint has closed its connection. The
    tunnel also ends with the process of the VM that relays it; then, and in a
    tunnel without chunks, an end counts as a lost connection.
    """

    transport: typing.Any

    def __init__(self, inner: typing.Any, is_chunked: bool) -> None:
        """Creates the protocol.

        Args:
            inner: Protocol of the connection to the endpoint.
            is_chunked: Whether the data comes in chunks.
        """
        self._inner = inner
        self._decoder = (chunk_decoder.ChunkDecoder(_MAX_SIZE_LINE_BYTES)
                         if is_chunked else None)
        self._is_lost = False

    def connectionMade(self) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        self._inner.makeConnection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # pylint: disable=invalid-name
        """See `protocol.Protocol`."""
        if self._decoder is None:
            self._inner.dataReceived(data)
            return
        if self._is_lost:
            return
        try:
            data, _ = self._decoder.decode(data)
        except chunk_decoder.ChunkError:
            self.transport.abortConnection()
            return
        if data:
            self._inner.dataReceived(data)
        if self._decoder.is_complete:
            self._lose(failure.Failure(internet_error.ConnectionDone()))
            self.transport.abortConnection()

    def connectionLost(  # pylint: disable=invalid-name
            self,
            reason: failure.Failure = protocol.connectionDone) -> None:
        """See `protocol.Protocol`."""
        if reason.check(internet_error.ConnectionDone):
            reason = failure.Failure(
                internet_error.ConnectionLost(
                    "the tunnel ended before the endpoint's connection"))
        self._lose(reason)

    def _lose(self, reason: failure.Failure) -> None:
        if not self._is_lost:
            self._is_lost = True
            self._inner.connectionLost(reason)
