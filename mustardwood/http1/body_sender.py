"""Sends a long body as fast as the other side reads it."""

import typing

from twisted.internet import interfaces
from zope import interface

SLICE_BYTES = 64 * 1024
"""Size of the parts that are written at once."""


@interface.implementer(interfaces.IPushProducer)
class BodySender:
    """Writes a body in parts, so that the transport never holds a copy of it.

    Attributes:
        is_done: Whether the whole body was written.
    """

    def __init__(self, transport: typing.Any, body: bytes) -> None:
        """Creates a sender; `start` starts it.

        Args:
            transport: The transport to write to; it has no other producer until
                the body was written.
            body: The body.
        """
        self._transport = transport
        self._rest = memoryview(body)
        self._is_paused = False
        self.is_done = False

    def start(self) -> None:
        """Starts to write."""
        self._transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_paused = False
        while self._rest and not self._is_paused:
            part, self._rest = (self._rest[:SLICE_BYTES],
                                self._rest[SLICE_BYTES:])
            self._transport.write(bytes(part))
        if not self._rest and not self.is_done:
            self.is_done = True
            self._transport.unregisterProducer()

    def pauseProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`."""
        self._is_paused = True

    def stopProducing(self) -> None:  # pylint: disable=invalid-name
        """See `interfaces.IPushProducer`; the connection was lost."""
        self._is_paused = True
