"""Registers this VM in the platform's store."""

import collections.abc
import datetime
import random

from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

_LEASE_TIME_TO_LIVE = datetime.timedelta(seconds=12)
"""Time to live of the lease.

It covers three missed renewals and the remaining time of a call.
"""
_RENEWAL_INTERVAL = datetime.timedelta(seconds=4)
"""Interval of renewals; a renewal costs a tenth of a read."""
_RETRY_DELAY = datetime.timedelta(seconds=1)
"""Delay after a failed call.

A missing registration is not urgent: a VM counts as a peer for as long as its
messages arrive.
"""
_SPREAD_PER_VM = datetime.timedelta(milliseconds=10)
"""Spread per VM of the times at which VMs register in a restored store.

Each makes two writes; all VMs together use half of the store's limit of 400
writes per second.
"""


class VmRegistration:
    """Keeps this VM's address in the store while the process runs.

    The address is stored under a lease, so that it is removed when the process
    dies. A store that was restored from a copy may have lost the lease and the
    key, or have given the lease's id to another VM.
    """

    def __init__(self, client: store_client.StoreClient,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 vm: str, address: str,
                 count_peers: collections.abc.Callable[[], int],
                 rng: random.Random) -> None:
        """Creates a registration; `start` writes it.

        Args:
            client: Calls the store.
            scheduler: Schedules renewals and retries.
            journal: Logs lost leases and failed calls.
            vm: Name of this VM.
            address: IP:PORT at which this VM receives messages from peers.
            count_peers: Returns the number of peers.
            rng: Draws the delay after a restore of the store.
        """
        self._client = client
        self._scheduler = scheduler
        self._journal = journal
        self._key = store_watcher.VM_PREFIX + vm
        self._value = address.encode()
        self._count_peers = count_peers
        self._rng = rng
        self._lease: store_client.Lease | None = None
        self._wake: defer.Deferred[None] | None = None
        self._is_stopped = False

    def start(self) -> None:
        """Starts to register the VM and to renew its lease."""
        defer.Deferred.fromCoroutine(self._run()).addErrback(self._restart)

    def _restart(self, reason: failure.Failure) -> None:
        """Logs an unexpected error and registers again after a delay."""
        self._journal.write("error",
                            part="vm_registration",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())
        self._scheduler.call_later(_RETRY_DELAY, self.start)

    def stop(self) -> None:
        """Stops renewing and removes the registration."""
        self._is_stopped = True
        if self._lease is not None:
            defer.Deferred.fromCoroutine(self._revoke_lease(self._lease))

    def handle_era_change(self) -> None:
        """Registers again, since the store has lost the lease."""
        self._lease = None
        spread = _SPREAD_PER_VM * (self._count_peers() + 1)
        self._scheduler.call_later(spread * self._rng.random(), self._wake_up)

    def _wake_up(self) -> None:
        if self._wake is not None:
            wake, self._wake = self._wake, None
            wake.callback(None)

    async def _run(self) -> None:
        while not self._is_stopped:
            await self._sleep(await self._renew())

    async def _renew(self) -> datetime.timedelta:
        """Creates or renews the lease; returns the delay of the next call."""
        try:
            if self._lease is None:
                lease = await self._client.grant_lease(_LEASE_TIME_TO_LIVE)
                await self._client.write_key(self._key, self._value, lease)
                self._lease = lease
            else:
                await self._client.renew_lease(self._lease)
        except errors.LeaseLostError as error:
            self._journal.write("registration_lost", error=error.message)
            self._lease = None
            return _RETRY_DELAY
        except errors.KeyValueError as error:
            self._journal.write("registration_failed", error=error.message)
            return _RETRY_DELAY
        return _RENEWAL_INTERVAL

    async def _sleep(self, delay: datetime.timedelta) -> None:
        self._wake = defer.Deferred()
        timer = self._scheduler.call_later(delay, self._wake_up)
        await self._wake
        timer.cancel()

    async def _revoke_lease(self, lease: store_client.Lease) -> None:
        try:
            await self._client.revoke_lease(lease)
        except errors.KeyValueError as error:
            # The lease expires by itself a few seconds later.
            self._journal.write("registration_failed", error=error.message)
