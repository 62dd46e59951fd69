"""A value in the key-value service."""

import msgspec


class StoredValue(msgspec.Struct, frozen=True):
    """A key's value with its revision, as returned by the service.

    Attributes:
        key: The key.
        value: The value, at most a megabyte of UTF-8.
        revision: Number of the write that set the value. Revisions grow with
            each write to the service, whatever its key.
    """

    key: str
    value: str
    revision: int
