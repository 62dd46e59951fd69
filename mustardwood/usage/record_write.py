"""The action to write the record of finalized windows."""

import dataclasses

from mustardwood.usage import usage_record


@dataclasses.dataclass(frozen=True)
class RecordWrite:
    """Writes the record on condition that it has not changed.

    Attributes:
        record: The record.
        era: The store's only era in which the write is valid.
        expected_revision: Revision of the key's last change; 0 if it must not
            exist.
        token: Token of the term in which it is valid: it must not take effect
            once another VM has acquired the term. None if it only writes again
            what the store has lost.
    """

    record: usage_record.UsageRecord
    era: int
    expected_revision: int
    token: int | None = None
