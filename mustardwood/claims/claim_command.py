"""Commands of a claim to the key-value service."""

import msgspec

from mustardwood.claims import claim_record


class Create(msgspec.Struct, frozen=True):
    """Write the record if the key is absent.

    Attributes:
        record: The record.
    """

    record: claim_record.ClaimRecord


class Read(msgspec.Struct, frozen=True):
    """Read the record."""


class Replace(msgspec.Struct, frozen=True):
    """Write the record if the key has the expected revision.

    Attributes:
        record: The record.
        expected_revision: Revision of the record that it replaces.
    """

    record: claim_record.ClaimRecord
    expected_revision: int


class Delete(msgspec.Struct, frozen=True):
    """Delete the record if the key has the expected revision.

    Attributes:
        expected_revision: Revision of the record to delete.
    """

    expected_revision: int


Command = Create | Read | Replace | Delete
"""Any command."""
