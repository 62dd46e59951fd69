"""An in-memory platform for tests."""

import collections
import datetime
import typing

from twisted.internet import defer

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import vmlist

_REMEDY = "Try again."


class Platform:
    """Key-value service and list of VMs, with faults by switch.

    Attributes:
        down: Whether every call fails without effect.
        budget: Number of coming calls; a test with more of them fails.
        lost_writes: Number of coming writes that take effect unanswered.
        dropped_writes: Number of coming writes lost before their effect.
        calls: Number of calls by kind.
    """

    def __init__(self, reactor: typing.Any, records: tuple[vmlist.VmRecord,
                                                           ...]) -> None:
        self.down = False
        self.budget = 100_000
        self.lost_writes = 0
        self.dropped_writes = 0
        self.records = records
        self.calls: collections.Counter[str] = collections.Counter()
        self.values: dict[str, keyvalue.StoredValue] = {}
        self._revision = 0
        self._reactor = reactor
        self._waiting: list[tuple[str, int, defer.Deferred]] = []

    def write(self, key: str, value: str) -> int:
        """Sets a value whatever is there."""
        self._revision += 1
        stored = keyvalue.StoredValue(key, value, self._revision)
        self.values[key] = stored
        for each in tuple(self._waiting):
            if each[0] == key and self._revision > each[1]:
                self._waiting.remove(each)
                each[2].callback(stored)
        return self._revision

    def start_outage(self) -> None:
        """Fails all calls, the waiting watches too."""
        self.down = True
        waiting, self._waiting = self._waiting, []
        for each in waiting:
            each[2].errback(errors.UnavailableError("down.", _REMEDY))

    def restore(self, values: dict[str, keyvalue.StoredValue],
                revision: int) -> None:
        """Comes back with another state."""
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
        if self.dropped_writes:
            self.dropped_writes -= 1
            raise errors.UncertainWriteError("no answer.", _REMEDY)
        held = self.values.get(key)
        present = 0 if held is None else held.revision
        if present != expected_revision:
            raise errors.ConflictError("conflict.", _REMEDY, present)
        revision = self.write(key, value)
        if self.lost_writes:
            self.lost_writes -= 1
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
        waiter = (key, after_revision, defer.Deferred())
        self._waiting.append(waiter)
        self._reactor.callLater(timeout.total_seconds(), self._expire, waiter)
        return await waiter[2]

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
        self.budget -= 1
        assert self.budget >= 0, "too many calls to the platform"
        if self.down:
            raise errors.UnavailableError("the platform is down.", _REMEDY)

    def _expire(self, waiter: tuple) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            waiter[2].callback(None)
