"""Calls to the key-value service that a claim asks for."""

import msgspec

from mustardwood.claims import claim_record


class Create(msgspec.Struct, frozen=True):
    """Writes the record if the key is absent.

    Attributes:
        record: Record to write.
    """

    record: claim_record.ClaimRecord


class Read(msgspec.Struct, frozen=True):
    """Reads the record and its revision."""


class Replace(msgspec.Struct, frozen=True):
    """Writes the record if the key has the expected revision.

    Attributes:
        record: Record to write.
        expected_revision: Revision of the record that is replaced.
    """

    record: claim_record.ClaimRecord
    expected_revision: int


class Delete(msgspec.Struct, frozen=True):
    """Deletes the record if the key has the expected revision.

    Attributes:
        expected_revision: Revision of the record to delete.
    """

    expected_revision: int


Command = Create | Read | Replace | Delete
"""Any command of a claim."""
