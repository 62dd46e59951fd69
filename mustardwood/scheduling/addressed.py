"""A message with its destination."""

import dataclasses

from mustardwood import messages


@dataclasses.dataclass(frozen=True)
class Addressed:
    """A message that the caller of a decision must send.

    Attributes:
        peer: Process that it goes to.
        message: The message.
    """

    peer: messages.Peer
    message: messages.Message
