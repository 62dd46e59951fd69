"""A message with its receiver."""

import msgspec

from mustardwood.messages import peer as peer_module
from mustardwood.messages import union


class AddressedMessage(msgspec.Struct, frozen=True):
    """A message that a decision core wants sent.

    Attributes:
        peer: Process that gets it.
        message: The message.
    """

    peer: peer_module.Peer
    message: union.Message
