"""The envelope of every message between processes, and its encoding."""

import msgspec

from mustardwood import errors
from mustardwood.messages import peer
from mustardwood.messages import union


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        sender: Process that sent the message, to which replies are sent.
        incarnation: Start time of the sending process, in nanoseconds since
            1970. It separates the messages of a restarted process from those
            that it sent before the restart.
        body: The message.
    """

    sender: peer.Peer
    incarnation: int
    body: union.Message


_DECODER = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder()


def encode_envelope(message: Envelope) -> bytes:
    """Encodes an envelope as MessagePack."""
    return _ENCODER.encode(message)


def decode_envelope(data: bytes) -> Envelope:
    """Decodes an envelope from MessagePack.

    Raises:
        LinkError: If the bytes are not a valid envelope.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise errors.LinkError(
            f"a message can't be decoded: {error}.",
            "Run the same release on all VMs; the message was dropped.",
        ) from error
