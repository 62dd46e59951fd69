"""A stored record of service-level counts."""

import msgspec

from mustardwood import reports


class StoredRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The service-level counts of a minute or an hour, as stored.

    Attributes:
        record: The counts.
        lease_id: Lease of a minute's record, which the other minutes of the
            same hour share; empty for an hour.
    """

    record: reports.LevelRecord
    lease_id: str = ""
