"""Decodes JSON and MessagePack that other processes have written."""

import typing

import msgspec

from mustardwood.decoding import decoding_error

_T = typing.TypeVar("_T")
_DECODING_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError,
                    OverflowError)
"""What the decoders raise: also for deep nesting, and numbers out of range."""


def decode_json(data: bytes | msgspec.Raw,
                data_type: type[_T],
                strict: bool = True) -> _T:
    """Decodes JSON.

    Args:
        data: The encoded value.
        data_type: Type of the value.
        strict: Whether, for example, a string is rejected where a number is
            expected.

    Raises:
        DecodingError: If the data is malformed or of another type.

    Examples:
        >>> decode_json(b"[1, 2]", list[int])
        [1, 2]
        >>> decode_json(b"[" * 5000, list[int])
        Traceback (most recent call last):
          ...
        mustardwood.decoding.decoding_error.DecodingError: ...
    """
    try:
        return msgspec.json.decode(data, type=data_type, strict=strict)
    except _DECODING_ERRORS as error:
        raise decoding_error.DecodingError(error) from error


def decode_msgpack(data: bytes | msgspec.Raw, data_type: type[_T]) -> _T:
    """Decodes MessagePack.

    Args:
        data: The encoded value.
        data_type: Type of the value.

    Raises:
        DecodingError: If the data is malformed or of another type.
    """
    try:
        return msgspec.msgpack.decode(data, type=data_type)
    except _DECODING_ERRORS as error:
        raise decoding_error.DecodingError(error) from error
