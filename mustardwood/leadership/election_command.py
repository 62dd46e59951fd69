"""Commands of a leader election that its adapter carries out.

Each command is answered by one event, which names the command. The election
ignores answers to commands of an attempt that it has given up.
"""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class GrantLease:
    """Creates a lease.

    Attributes:
        attempt: Number of the attempt to hold the term.
        sent_at: Monotonic time of the command.
        time_to_live: Time to live of the lease.
    """

    attempt: int
    sent_at: datetime.timedelta
    time_to_live: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class WriteKey:
    """Writes the key under the lease if the key has not changed.

    Attributes:
        attempt: Number of the attempt to hold the term.
        lease_id: Id of the lease.
        expected_revision: Revision of the key that is replaced; 0 if it must
            not exist.
    """

    attempt: int
    lease_id: int
    expected_revision: int


@dataclasses.dataclass(frozen=True)
class RenewLease:
    """Renews the lease.

    Attributes:
        attempt: Number of the attempt to hold the term.
        lease_id: Id of the lease.
        sent_at: Monotonic time of the command.
    """

    attempt: int
    lease_id: int
    sent_at: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class EndLease:
    """Ends the lease, which removes the key.

    The election does not need the answer.

    Attributes:
        attempt: Number of the attempt to hold the term.
        lease_id: Id of the lease.
    """

    attempt: int
    lease_id: int


ElectionCommand = GrantLease | WriteKey | RenewLease | EndLease
"""Any command of a leader election."""
