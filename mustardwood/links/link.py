"""The interface of a link between processes."""

import collections.abc
import typing

from mustardwood import messages

Handler = collections.abc.Callable[[messages.Envelope], None]


class Link(typing.Protocol):
    """Sends and receives messages; a message may be lost, late or repeated.

    The silence of an answer, never of a send, is evidence of loss.
    """

    def send(self, peer: messages.Peer, message: messages.Message) -> None:
        """Sends without blocking; drops the message when the peer is gone."""

    def set_handler(self, handler: Handler) -> None:
        """Sets what is called for each message received."""
