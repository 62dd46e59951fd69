"""This VM's entry in the platform's store."""

import datetime

from twisted.internet import defer
from twisted.python import failure

from mustardwood import dispatch
from mustardwood import errors
from mustardwood.platform import store_client
from mustardwood.platform import store_watcher

_LIFETIME = datetime.timedelta(seconds=12)
"""Lifetime of the lease: three missed renewals and the rest of a call."""
_RENEWAL = datetime.timedelta(seconds=4)
"""Interval of renewals; each costs a tenth of a read."""
_RETRY = datetime.timedelta(seconds=1)
"""Delay after a failed call: peers are known until their messages stop."""


class VmRegistration:
    """Keeps a key with this VM's address for as long as the process runs."""

    def __init__(self, client: store_client.StoreClient,
                 scheduler: dispatch.Scheduler, journal: dispatch.Journal,
                 vm: str, address: str) -> None:
        self._client = client
        self._scheduler = scheduler
        self._journal = journal
        self._key = store_watcher.VM_PREFIX + vm
        self._value = address.encode()
        self._lease: int | None = None
        self._is_ended = False

    def start(self) -> None:
        """Begins to register."""
        defer.Deferred.fromCoroutine(self._keep()).addErrback(self._restart)

    def _restart(self, reason: failure.Failure) -> None:
        """Registers on after an error that nobody foresaw."""
        self._journal.write("error",
                            part="vm_registration",
                            error=reason.getErrorMessage(),
                            traceback=reason.getTraceback())
        self._scheduler.call_later(_RETRY, self.start)

    def end(self) -> None:
        """Removes the entry."""
        self._is_ended = True
        if self._lease is not None:
            defer.Deferred.fromCoroutine(self._end_lease(self._lease))

    async def _keep(self) -> None:
        while not self._is_ended:
            await self._wait(await self._renew())

    async def _renew(self) -> datetime.timedelta:
        """Opens or renews the lease; returns the delay before the next call."""
        try:
            if self._lease is None:
                lease = await self._client.open_lease(_LIFETIME)
                await self._client.write_key(self._key, self._value, lease)
                self._lease = lease
            else:
                await self._client.renew_lease(self._lease)
        except errors.LeaseLostError as error:
            self._journal.write("registration_lost", error=error.message)
            self._lease = None
            return _RETRY
        except errors.KeyValueError as error:
            self._journal.write("registration_failed", error=error.message)
            return _RETRY
        return _RENEWAL

    async def _wait(self, delay: datetime.timedelta) -> None:
        waited: defer.Deferred[None] = defer.Deferred()
        self._scheduler.call_later(delay, lambda: waited.callback(None))
        await waited

    async def _end_lease(self, lease: int) -> None:
        try:
            await self._client.end_lease(lease)
        except errors.KeyValueError as error:
            # The lease ends by itself a few seconds later.
            self._journal.write("registration_failed", error=error.message)
