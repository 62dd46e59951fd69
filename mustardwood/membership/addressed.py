"""A message with its receiver."""

import msgspec

from mustardwood import messages


class Addressed(msgspec.Struct, frozen=True):
    """A message that a core wants sent.

    Attributes:
        peer: Process that gets it.
        message: The message.
    """

    peer: messages.Peer
    message: messages.Message
