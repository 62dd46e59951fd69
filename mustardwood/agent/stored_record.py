"""A record of counts as the platform's service holds it."""

import msgspec

from mustardwood import reports


class StoredRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """The counts of a minute or an hour.

    Attributes:
        record: The counts.
        lease_id: Lease of a minute's record; the other minutes of its hour
            join it.
    """

    record: reports.LevelRecord
    lease_id: str = ""
