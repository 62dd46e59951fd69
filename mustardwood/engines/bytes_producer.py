"""A request body held in memory."""

import typing

from twisted.internet import defer
from twisted.web import iweb
from zope import interface


@interface.implementer(iweb.IBodyProducer)
class BytesProducer:
    """Writes a body at once.

    Attributes:
        length: Size of the body, in bytes.
    """

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    # The names below are those of the library's interface.
    # pylint: disable=invalid-name

    def startProducing(self, consumer: typing.Any) -> defer.Deferred[None]:
        """Writes the body."""
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Does nothing: all is written already."""

    def resumeProducing(self) -> None:
        """Does nothing: all is written already."""

    def stopProducing(self) -> None:
        """Does nothing: all is written already."""


def make_producer(body: bytes) -> typing.Any:
    """Returns a producer of a body; None for an empty one."""
    return BytesProducer(body) if body else None
