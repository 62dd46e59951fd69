"""A message with its recipient."""

import msgspec

from mustardwood.messages import peer as peer_module
from mustardwood.messages import union


class AddressedMessage(msgspec.Struct, frozen=True):
    """A message to send, as returned by code that does no I/O itself.

    Attributes:
        peer: Process that the message is sent to.
        message: The message.
    """

    peer: peer_module.Peer
    message: union.Message
