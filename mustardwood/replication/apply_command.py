"""Commands of an apply to the key-value service."""

import msgspec

from mustardwood import configuration


class ReadPlatform(msgspec.Struct, frozen=True):
    """Read the platform's document."""


class WritePlatform(msgspec.Struct, frozen=True):
    """Write the document if the key has the expected revision.

    Attributes:
        document: The document.
        expected_revision: Revision that it replaces; 0 when absent.
    """

    document: configuration.VersionedDocument
    expected_revision: int


ApplyCommand = ReadPlatform | WritePlatform
"""Any command."""
