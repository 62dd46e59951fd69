"""A platform in memory that counts its calls."""

import collections
import datetime
import typing

from twisted.internet import defer

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import vmlist


class MemoryPlatform:
    """A key-value service and a list of VMs.

    Attributes:
        calls: Calls by kind.
        records: The list.
    """

    def __init__(self, reactor: typing.Any, records: tuple[vmlist.VmRecord,
                                                           ...]) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.records = records
        self._reactor = reactor
        self._values: dict[str, keyvalue.StoredValue] = {}
        self._waiting: list[tuple[str, defer.Deferred]] = []
        self._revision = 0

    async def get(self, key: str) -> keyvalue.StoredValue | None:
        """Returns a value."""
        self.calls["get"] += 1
        return self._values.get(key)

    async def list(self, prefix: str) -> tuple[keyvalue.StoredValue, ...]:
        """Returns the values whose keys begin with a prefix."""
        self.calls["list"] += 1
        return tuple(each for key, each in self._values.items()
                     if key.startswith(prefix))

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes a value by compare-and-swap."""
        del lease_id
        self.calls["put"] += 1
        held = self._values.get(key)
        present = 0 if held is None else held.revision
        if present != expected_revision:
            raise errors.ConflictError("the revision is another.",
                                       "Read again.", present)
        return self.write(key, value)

    def write(self, key: str, value: str) -> int:
        """Sets a value, whatever is there."""
        self._revision += 1
        stored = keyvalue.StoredValue(key, value, self._revision)
        self._values[key] = stored
        woken = [each for each in self._waiting if each[0] == key]
        self._waiting = [each for each in self._waiting if each[0] != key]
        for _, waiter in woken:
            waiter.callback(stored)
        return self._revision

    async def watch(self, key: str, after_revision: int,
                    timeout: datetime.timedelta) -> keyvalue.StoredValue | None:
        """Waits for a change of a value."""
        self.calls["watch"] += 1
        held = self._values.get(key)
        if held is not None and held.revision > after_revision:
            return held
        waiter: tuple[str, defer.Deferred] = (key, defer.Deferred())
        self._waiting.append(waiter)
        self._reactor.callLater(timeout.total_seconds(), self._expire, waiter)
        return await waiter[1]

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Is not needed here."""
        raise NotImplementedError

    async def grant_lease(self,
                          time_to_live: datetime.timedelta) -> keyvalue.Lease:
        """Is not needed here."""
        raise NotImplementedError

    async def renew_lease(self, lease_id: str) -> None:
        """Is not needed here."""
        raise NotImplementedError

    async def revoke_lease(self, lease_id: str) -> None:
        """Is not needed here."""
        raise NotImplementedError

    async def fetch(self) -> tuple[vmlist.VmRecord, ...]:
        """Returns the list of VMs."""
        self.calls["fetch"] += 1
        return self.records

    def _expire(self, waiter: tuple[str, defer.Deferred]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            waiter[1].callback(None)
