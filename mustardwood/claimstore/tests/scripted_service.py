"""An in-memory key-value service whose calls fail as a test scripts."""

import collections
import datetime

from mustardwood import errors
from mustardwood import keyvalue

_REMEDY = "Try again later."


class ScriptedService:
    """The methods of `keyvalue.KeyValueService` that a claim store calls.

    Each put or delete takes the next word of `faults`, and each get the next
    one of `read_faults`:

    - "": the call succeeds;
    - "lost": the write has no effect, and its response is lost;
    - "done": the write takes effect, but its response is lost;
    - "late": the response is lost, and the write takes effect when
      `apply_late_writes` is called;
    - "down": the service is unavailable;
    - "limited": the service refuses the call because of its rate limit.

    A call succeeds when there is no word left.

    Attributes:
        values: Stored values by key.
        lease_of_key: Lease id by key.
        ended_leases: Ids of leases that have ended.
        faults: Faults of the next writes.
        read_faults: Faults of the next reads.
        is_down: Whether every call fails.
        writes: Number of writes that were not refused.
        grants: Number of leases granted.
    """

    def __init__(self) -> None:
        self.values: dict[str, keyvalue.StoredValue] = {}
        self.lease_of_key: dict[str, str] = {}
        self.ended_leases: set[str] = set()
        self.faults: collections.deque[str] = collections.deque()
        self.read_faults: collections.deque[str] = collections.deque()
        self.is_down = False
        self.writes = 0
        self.grants = 0
        self._revision = 0
        self._late_writes: list[tuple[str, str | None, int, str]] = []

    async def get(self, key):
        self._raise_fault(
            self.read_faults.popleft() if self.read_faults else "")
        return self.values.get(key)

    async def put(self, key, value, *, expected_revision, lease_id=None):
        if lease_id in self.ended_leases:
            raise errors.LeaseLostError("The lease has ended.", _REMEDY)
        return self._write(key, value, expected_revision, lease_id or "")

    async def delete(self, key, *, expected_revision):
        self._write(key, None, expected_revision, "")

    async def grant_lease(self, time_to_live):
        self._raise_fault("")
        self.grants += 1
        return keyvalue.Lease(f"lease{self.grants}", self.grants, time_to_live)

    def apply_late_writes(self) -> None:
        """Applies the late writes; those with another revision fail."""
        for write in self._late_writes:
            try:
                self._store(*write)
            except errors.ConflictError:
                pass
        self._late_writes.clear()

    def end_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
        self.ended_leases.add(lease_id)
        for key in [k for k, v in self.lease_of_key.items() if v == lease_id]:
            self.values.pop(key, None)

    def _raise_fault(self, fault: str) -> None:
        if fault == "down" or self.is_down:
            raise errors.UnavailableError("The service is down.", _REMEDY)
        if fault == "limited":
            raise errors.RateLimitedError("Too many calls.", _REMEDY,
                                          datetime.timedelta(seconds=7))

    def _write(self, key, value, expected_revision, lease_id):
        fault = self.faults.popleft() if self.faults else ""
        self._raise_fault(fault)
        self.writes += 1
        if fault == "late":
            self._late_writes.append((key, value, expected_revision, lease_id))
        if fault in ("lost", "late"):
            raise errors.UncertainWriteError("Lost.", _REMEDY)
        revision = self._store(key, value, expected_revision, lease_id)
        if fault == "done":
            raise errors.UncertainWriteError("Lost.", _REMEDY)
        return revision

    def _store(self, key, value, expected_revision, lease_id):
        present = self.values.get(key)
        revision = present.revision if present else 0
        if revision != expected_revision:
            raise errors.ConflictError("Conflict.", _REMEDY, revision)
        self._revision += 1
        if value is None:
            del self.values[key]
        else:
            self.values[key] = keyvalue.StoredValue(key, value, self._revision)
            self.lease_of_key[key] = lease_id
        return self._revision
