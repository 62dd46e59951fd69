"""Sends a long body as fast as the other side reads it."""

import typing

from twisted.internet import interfaces
from zope import interface

SLICE_BYTES = 64 * 1024
"""Size of the parts that are written at once."""


@interface.implementer(interfaces.IPushProducer)
class BodySender:
    """Writes a body in parts, so that the transport never holds a copy of it.

    If the body is cleared, the rest is not written. No view of it is kept, as a
    body that is viewed can't be cleared.

    Attributes:
        is_done: Whether the whole body was written.
    """

    def __init__(self, transport: typing.Any, body: bytes | bytearray) -> None:
        """Creates a sender; `start` starts it.

        Args:
            transport: The transport to write to; it has no other producer until
                the body was written.
            body: The body.
        """
        self._transport = transport
        self._body = body
        self._length = len(body)
        self._sent_bytes = 0
        self._is_paused = False
        self.is_done = False

    def start(self) -> None:
        """Starts to write."""
        self._transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_paused = False
        while self._sent_bytes < len(self._body) and not self._is_paused:
            begin = self._sent_bytes
            self._sent_bytes += SLICE_BYTES
            self._transport.write(bytes(self._body[begin:self._sent_bytes]))
        if self._sent_bytes >= self._length and not self.is_done:
            self.is_done = True
            self._transport.unregisterProducer()

    def pauseProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_paused = True

    def stopProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`; the connection was lost."""
        self._is_paused = True
