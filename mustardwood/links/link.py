"""The interface of links."""

import collections.abc
import typing

from mustardwood import messages

Handler = collections.abc.Callable[[messages.Envelope], None]


class Link(typing.Protocol):
    """Sends and receives messages; a message may be lost, delayed or repeated.

    A send reports no failure. A sender detects a loss by the missing reply.
    """

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends a message, or drops it if the peer is unreachable.

        The call doesn't block.
        """

    def set_handler(self, handler: Handler) -> None:
        """Sets the function that is called with each received message."""
