"""The leases that make a VM's claims expire."""

import datetime

from twisted.internet import defer

from mustardwood import keyvalue
from mustardwood import timing
from mustardwood.claimstore import stopwatch

CLAIM_TIME_TO_LIVE = datetime.timedelta(hours=25)
"""Time from the grant of a lease to its end, which deletes its claims."""

LEASE_SHARING_TIME = datetime.timedelta(hours=1)
"""Time for which new claims are attached to the same lease."""


class HourlyLease:
    """Keeps a lease for new claims and replaces it every hour.

    A lease is never renewed. The service deletes a claim when its lease ends,
    24 to 25 hours after the claim was made, so that removing claims costs no
    writes.
    """

    def __init__(self, service: keyvalue.KeyValueService,
                 clock: timing.Clock) -> None:
        self._service = service
        self._clock = clock
        self._lock = defer.DeferredLock()
        self._lease_id = ""
        self._lease_age = stopwatch.Stopwatch(clock)

    async def get_id(self) -> str:
        """Returns the id of the current lease, after granting one when due.

        Raises:
            KeyValueError: No lease could be granted.
        """
        await self._lock.acquire()
        try:
            if self._is_due():
                await self._grant()
            return self._lease_id
        finally:
            self._lock.release()

    def discard(self, lease_id: str) -> None:
        """Stops using a lease that has ended at the service."""
        if self._lease_id == lease_id:
            self._lease_id = ""

    def _is_due(self) -> bool:
        if not self._lease_id:
            return True
        return self._lease_age.elapsed() >= LEASE_SHARING_TIME

    async def _grant(self) -> None:
        age = stopwatch.Stopwatch(self._clock)
        lease = await self._service.grant_lease(CLAIM_TIME_TO_LIVE)
        self._lease_age = age
        self._lease_id = lease.lease_id
