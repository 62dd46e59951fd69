"""Calls to the key-value service that an apply asks for."""

import msgspec

from mustardwood import configuration


class ReadPlatform(msgspec.Struct, frozen=True):
    """Reads the platform's document and its revision."""


class WritePlatform(msgspec.Struct, frozen=True):
    """Writes the document if the key has the expected revision.

    Attributes:
        document: Document to write.
        expected_revision: Revision that is replaced; 0 when the key is absent.
    """

    document: configuration.VersionedDocument
    expected_revision: int


ApplyCommand = ReadPlatform | WritePlatform
"""Any command of an apply."""
