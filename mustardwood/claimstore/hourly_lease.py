"""The lease that ends a VM's claims."""

import datetime

from twisted.internet import defer

from mustardwood import keyvalue
from mustardwood import timing
from mustardwood.claimstore import stopwatch

CLAIM_TIME_TO_LIVE = datetime.timedelta(hours=25)
"""Time from the grant of a lease to the removal of its claims."""

LEASE_SHARING_TIME = datetime.timedelta(hours=1)
"""Time during which new claims join the same lease."""


class HourlyLease:
    """Grants one lease an hour, never renewed.

    A claim that joins a lease is removed by the service 24 to 25 hours later,
    without a write.
    """

    def __init__(self, service: keyvalue.KeyValueService,
                 clock: timing.Clock) -> None:
        self._service = service
        self._clock = clock
        self._lock = defer.DeferredLock()
        self._lease_id = ""
        self._age = stopwatch.Stopwatch(clock)

    async def get_id(self) -> str:
        """Returns the id of the present lease, granting one when due.

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

    def forget(self, lease_id: str) -> None:
        """Drops a lease that the service no longer knows."""
        if self._lease_id == lease_id:
            self._lease_id = ""

    def _is_due(self) -> bool:
        if not self._lease_id:
            return True
        return self._age.elapsed() >= LEASE_SHARING_TIME

    async def _grant(self) -> None:
        age = stopwatch.Stopwatch(self._clock)
        lease = await self._service.grant_lease(CLAIM_TIME_TO_LIVE)
        self._age = age
        self._lease_id = lease.lease_id
