"""The frame of every message between processes."""

import msgspec

from mustardwood import errors
from mustardwood.messages import peer
from mustardwood.messages import union


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its sender.

    Attributes:
        sender: Process that sent it, and where answers go.
        incarnation: Start time of the sending process, in nanoseconds since
            1970; tells messages of a restarted process from older ones.
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
        LinkError: The bytes are no envelope.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
        raise errors.LinkError(
            f"a message can't be decoded: {error}.",
            "Run the same release on all VMs; the message was dropped.",
        ) from error
