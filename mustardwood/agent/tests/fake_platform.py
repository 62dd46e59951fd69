"""An in-memory platform for tests."""

import collections
import datetime
import typing

from twisted.internet import defer

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import vmlist

_REMEDY = "Try again."


class FakePlatform:
    """Key-value service and list of VMs whose faults can be switched on.

    Attributes:
        down: Whether every call fails without effect.
        remaining_calls: Number of further calls after which the test fails.
        unanswered_writes: Number of further writes that take effect but whose
            response is lost.
        dropped_writes: Number of further writes that are lost before they
            take effect.
        records: The list of VMs.
        calls: Number of calls by kind.
        puts: Number of attempted writes by key.
        values: Stored values by key.
    """

    def __init__(self, reactor: typing.Any, records: tuple[vmlist.VmRecord,
                                                           ...]) -> None:
        self.down = False
        self.remaining_calls = 100_000
        self.unanswered_writes = 0
        self.dropped_writes = 0
        self.records = records
        self.calls: collections.Counter[str] = collections.Counter()
        self.puts: collections.Counter[str] = collections.Counter()
        self.values: dict[str, keyvalue.StoredValue] = {}
        self._revision = 0
        self._reactor = reactor
        self._watches: list[tuple[str, int, defer.Deferred]] = []

    def write(self, key: str, value: str) -> int:
        """Sets a value unconditionally; returns its revision."""
        self._revision += 1
        stored = keyvalue.StoredValue(key, value, self._revision)
        self.values[key] = stored
        for each in tuple(self._watches):
            if each[0] == key and self._revision > each[1]:
                self._watches.remove(each)
                each[2].callback(stored)
        return self._revision

    def start_outage(self) -> None:
        """Makes all calls fail, including the pending watches."""
        self.down = True
        watches, self._watches = self._watches, []
        for each in watches:
            each[2].errback(errors.UnavailableError("down.", _REMEDY))

    def restore(self, values: dict[str, keyvalue.StoredValue],
                revision: int) -> None:
        """Ends an outage with a different stored state."""
        self.values = dict(values)
        self._revision = revision
        self.down = False

    async def get(self, key: str) -> keyvalue.StoredValue | None:
        """See `keyvalue.KeyValueService`."""
        self._check("get")
        return self.values.get(key)

    async def list(self, prefix: str) -> tuple[keyvalue.StoredValue, ...]:
        """See `keyvalue.KeyValueService`."""
        self._check("list")
        return tuple(
            each for key, each in self.values.items() if key.startswith(prefix))

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """See `keyvalue.KeyValueService`."""
        del lease_id
        self._check("put")
        self.puts[key] += 1
        if self.dropped_writes:
            self.dropped_writes -= 1
            raise errors.UncertainWriteError("no answer.", _REMEDY)
        held = self.values.get(key)
        present = 0 if held is None else held.revision
        if present != expected_revision:
            raise errors.ConflictError("conflict.", _REMEDY, present)
        revision = self.write(key, value)
        if self.unanswered_writes:
            self.unanswered_writes -= 1
            raise errors.UncertainWriteError("no answer.", _REMEDY)
        return revision

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """See `keyvalue.KeyValueService`."""
        raise NotImplementedError

    async def watch(self, key: str, after_revision: int,
                    timeout: datetime.timedelta) -> keyvalue.StoredValue | None:
        """See `keyvalue.KeyValueService`."""
        self._check("watch")
        held = self.values.get(key)
        if held is not None and held.revision > after_revision:
            return held
        watch_entry = (key, after_revision, defer.Deferred())
        self._watches.append(watch_entry)
        self._reactor.callLater(timeout.total_seconds(), self._expire,
                                watch_entry)
        return await watch_entry[2]

    async def grant_lease(self,
                          time_to_live: datetime.timedelta) -> keyvalue.Lease:
        """See `keyvalue.KeyValueService`."""
        self._check("grant_lease")
        return keyvalue.Lease("lease", 1, time_to_live)

    async def renew_lease(self, lease_id: str) -> None:
        """See `keyvalue.KeyValueService`."""
        raise NotImplementedError

    async def revoke_lease(self, lease_id: str) -> None:
        """See `keyvalue.KeyValueService`."""
        raise NotImplementedError

    async def fetch(self) -> tuple[vmlist.VmRecord, ...]:
        """See `vmlist.VmList`."""
        self._check("fetch")
        return self.records

    def _check(self, kind: str) -> None:
        self.calls[kind] += 1
        self.remaining_calls -= 1
        assert self.remaining_calls >= 0, "too many calls to the platform"
        if self.down:
            raise errors.UnavailableError("the platform is down.", _REMEDY)

    def _expire(self, watch_entry: tuple) -> None:
        if watch_entry in self._watches:
            self._watches.remove(watch_entry)
            watch_entry[2].callback(None)
