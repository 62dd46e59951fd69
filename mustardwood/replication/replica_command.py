"""Commands of a configuration replica to its agent."""

import msgspec

from mustardwood import configuration


class Adopt(msgspec.Struct, frozen=True):
    """Put a document in force on this VM.

    Attributes:
        document: The document.
    """

    document: configuration.VersionedDocument


class Repair(msgspec.Struct, frozen=True):
    """Write the document in force back to the platform.

    Attributes:
        document: The document.
        expected_revision: Revision of the older document that the platform
            showed; 0 when it showed none.
    """

    document: configuration.VersionedDocument
    expected_revision: int


class Push(msgspec.Struct, frozen=True):
    """Pass a document on to neighbours.

    Attributes:
        document: The document.
    """

    document: configuration.VersionedDocument


ReplicaCommand = Adopt | Repair | Push
"""Any command."""
