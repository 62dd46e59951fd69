"""Producer of an HTTP request body that is held in memory."""

import typing

from twisted.internet import defer
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a whole body in one call.

    Attributes:
        length: Size of the body, in bytes.
    """

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    # The names below are defined by Twisted's IBodyProducer.
    # pylint: disable=invalid-name

    def startProducing(self, consumer: typing.Any) -> defer.Deferred[None]:
        """Writes the body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Does nothing: the whole body has been written already."""

    def resumeProducing(self) -> None:
        """Does nothing: the whole body has been written already."""

    def stopProducing(self) -> None:
        """Does nothing: the whole body has been written already."""


def make_producer(body: bytes) -> typing.Any:
    """Returns a producer of a body, or None if the body is empty."""
    return BytesProducer(body) if body else None
