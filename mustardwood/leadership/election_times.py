"""Times of a leader election."""

import dataclasses
import datetime

MAX_CALL_TIME = datetime.timedelta(seconds=1)
"""Time after which a duty call without a response must be aborted.

A term begins to act this long after the end of the one before, so that no call
of the predecessor is in flight any more. A call to an API that is slowed down
fiftyfold takes about half a second.
"""
_MIN_LEASE_TIME = datetime.timedelta(seconds=1)
"""The shortest lease that the store grants."""
_MAX_LEASE_TIME = datetime.timedelta(seconds=3)
"""Longest lease.

A killed holder is replaced after at most the lease and `MAX_CALL_TIME`, which
is less than 5 s.
"""
_RENEWALS_PER_LEASE = 4
"""Renewals in the time of a lease.

Renewals do not wait for the answer to the one before. With 0.75 s between them
a term outlives the loss of two in a row, and answers that take 0.4 s.
"""
_LEASES_PER_MARGIN = 6
"""A lease is used for less than its time by this part of it.

It is 0.5 s for a lease of 3 s, and covers clocks that run at different speeds
and the time for which the last call is on its way.
"""


@dataclasses.dataclass(frozen=True)
class ElectionTimes:
    """Times of a leader election.

    Attributes:
        lease: Time to live of the lease.
        margin: Time before the end of the lease at which the holder stops.
        renewal_interval: Time between two renewals.
        stagger: Time by which a candidate lets the one before it in the order
            go first.
        call: Time for which a call of the predecessor may be in flight.
        exclusion: Time for which a VM that held a term does not acquire the
            next one after another VM has held it.
    """

    lease: datetime.timedelta
    margin: datetime.timedelta
    renewal_interval: datetime.timedelta
    stagger: datetime.timedelta
    call: datetime.timedelta
    exclusion: datetime.timedelta

    @classmethod
    def from_bound(cls, lease_bound: datetime.timedelta,
                   stagger: datetime.timedelta) -> "ElectionTimes":
        """Returns the times for a deployment.

        Args:
            lease_bound: Time within which no VM may act, then another, then
                the first one again.
            stagger: See the class.
        """
        lease = min(max(lease_bound, _MIN_LEASE_TIME), _MAX_LEASE_TIME)
        return cls(lease=lease,
                   margin=lease / _LEASES_PER_MARGIN,
                   renewal_interval=lease / _RENEWALS_PER_LEASE,
                   stagger=stagger,
                   call=MAX_CALL_TIME,
                   exclusion=lease_bound)
