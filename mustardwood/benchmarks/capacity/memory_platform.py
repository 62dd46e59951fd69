"""In-memory platform that counts its calls."""

import collections
import datetime
import typing

from twisted.internet import defer

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import vmlist


class MemoryPlatform:
    """In-memory key-value service and VM list.

    Attributes:
        calls: Number of calls by kind.
        records: The VM list.
    """

    def __init__(self, reactor: typing.Any, records: tuple[vmlist.VmRecord,
                                                           ...]) -> None:
        self.calls: collections.Counter[str] = collections.Counter()
        self.records = records
        self._reactor = reactor
        self._values: dict[str, keyvalue.StoredValue] = {}
        self._watchers: list[tuple[str, defer.Deferred]] = []
        self._revision = 0

    async def get(self, key: str) -> keyvalue.StoredValue | None:
        """Returns the value of a key; None if there is none."""
        self.calls["get"] += 1
        return self._values.get(key)

    async def list(self, prefix: str) -> tuple[keyvalue.StoredValue, ...]:
        """Returns the values whose keys start with a prefix."""
        self.calls["list"] += 1
        return tuple(each for key, each in self._values.items()
                     if key.startswith(prefix))

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes a value if the revision is as expected (compare-and-swap)."""
        del lease_id
        self.calls["put"] += 1
        current = self._values.get(key)
        current_revision = 0 if current is None else current.revision
        if current_revision != expected_revision:
            raise errors.ConflictError("the revision of the key has changed.",
                                       "Read the key again.", current_revision)
        return self.write(key, value)

    def write(self, key: str, value: str) -> int:
        """Writes a value unconditionally and returns its revision."""
        self._revision += 1
        stored = keyvalue.StoredValue(key, value, self._revision)
        self._values[key] = stored
        matching = [each for each in self._watchers if each[0] == key]
        self._watchers = [each for each in self._watchers if each[0] != key]
        for _, watcher in matching:
            watcher.callback(stored)
        return self._revision

    async def watch(self, key: str, after_revision: int,
                    timeout: datetime.timedelta) -> keyvalue.StoredValue | None:
        """Waits until a value is newer than a revision; None on timeout."""
        self.calls["watch"] += 1
        current = self._values.get(key)
        if current is not None and current.revision > after_revision:
            return current
        watcher: tuple[str, defer.Deferred] = (key, defer.Deferred())
        self._watchers.append(watcher)
        self._reactor.callLater(timeout.total_seconds(), self._expire, watcher)
        return await watcher[1]

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Not implemented; agents do not delete keys in this benchmark."""
        raise NotImplementedError

    async def grant_lease(self,
                          time_to_live: datetime.timedelta) -> keyvalue.Lease:
        """Not implemented; agents use no leases in this benchmark."""
        raise NotImplementedError

    async def renew_lease(self, lease_id: str) -> None:
        """Not implemented; see `grant_lease`."""
        raise NotImplementedError

    async def revoke_lease(self, lease_id: str) -> None:
        """Not implemented; see `grant_lease`."""
        raise NotImplementedError

    async def fetch(self) -> tuple[vmlist.VmRecord, ...]:
        """Returns the VM list."""
        self.calls["fetch"] += 1
        return self.records

    def _expire(self, watcher: tuple[str, defer.Deferred]) -> None:
        if watcher in self._watchers:
            self._watchers.remove(watcher)
            watcher[1].callback(None)
