"""A lease of the key-value service."""

import datetime

import msgspec


class Lease(msgspec.Struct, frozen=True):
    """A lease, which ends unless it is renewed in time.

    Attributes:
        lease_id: Id assigned by the service.
        fencing_number: Fencing token, which grows with each lease that the
            service grants.
        time_to_live: Time from the grant or the last renewal to the end.
    """

    lease_id: str
    fencing_number: int
    time_to_live: datetime.timedelta
