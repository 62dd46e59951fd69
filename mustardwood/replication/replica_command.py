"""Commands of a configuration replica that its agent carries out."""

import msgspec

from mustardwood import configuration


class Adopt(msgspec.Struct, frozen=True):
    """Puts a document in force on this VM.

    Attributes:
        document: Document to put in force.
    """

    document: configuration.VersionedDocument


class Repair(msgspec.Struct, frozen=True):
    """Writes the document in force back to a platform that has an older one.

    Attributes:
        document: Document in force.
        expected_revision: Revision of the platform's older document, which is
            replaced; 0 when the key is absent.
    """

    document: configuration.VersionedDocument
    expected_revision: int


class Push(msgspec.Struct, frozen=True):
    """Sends a document to neighbours.

    Attributes:
        document: Document to send.
    """

    document: configuration.VersionedDocument


ReplicaCommand = Adopt | Repair | Push
"""Any command of a configuration replica."""
