"""Decoding of data that other processes have written.

Whatever the bytes are, they are decoded to the expected type or raise one kind
of error, so that an entry of the store or a message can't end or stall the
processing of the others.
"""

from mustardwood.decoding.decoder import decode_json
from mustardwood.decoding.decoder import decode_msgpack
from mustardwood.decoding.decoding_error import DecodingError

__all__ = [
    "DecodingError",
    "decode_json",
    "decode_msgpack",
]
