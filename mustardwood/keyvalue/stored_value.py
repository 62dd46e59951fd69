"""A value of the key-value service."""

import msgspec


class StoredValue(msgspec.Struct, frozen=True):
    """A key's value as the service returned it.

    Attributes:
        key: The key.
        value: The value, at most a megabyte of UTF-8.
        revision: Number of the write that set it; grows with each write to
            the service.
    """

    key: str
    value: str
    revision: int
