"""An in-memory key-value service whose calls fail as scripted."""

import collections
import datetime

from mustardwood import errors
from mustardwood import keyvalue

_REMEDY = "Try again later."


class ScriptedService:
    """Implements `keyvalue.KeyValueService` for tests.

    `faults` holds one word for each coming put or delete: "" (none), "lost"
    (no effect, answer lost), "done" (effect, answer lost), "late" (effect at
    `land`, answer lost), "down" or "limited".
    """

    def __init__(self) -> None:
        self.values: dict[str, keyvalue.StoredValue] = {}
        self.leases: dict[str, str] = {}
        self.ended: set[str] = set()
        self.faults: collections.deque[str] = collections.deque()
        self.read_faults: collections.deque[str] = collections.deque()
        self.is_down = False
        self.writes = 0
        self.grants = 0
        self._revision = 0
        self._late: list[tuple[str, str | None, int, str]] = []

    async def get(self, key):
        self._fail(self.read_faults.popleft() if self.read_faults else "")
        return self.values.get(key)

    async def put(self, key, value, *, expected_revision, lease_id=None):
        if lease_id in self.ended:
            raise errors.LeaseLostError("The lease has ended.", _REMEDY)
        return self._write(key, value, expected_revision, lease_id or "")

    async def delete(self, key, *, expected_revision):
        self._write(key, None, expected_revision, "")

    async def grant_lease(self, time_to_live):
        self._fail("")
        self.grants += 1
        return keyvalue.Lease(f"lease{self.grants}", self.grants, time_to_live)

    def land(self) -> None:
        """Lets the late writes take effect."""
        for write in self._late:
            try:
                self._apply(*write)
            except errors.ConflictError:
                pass
        self._late.clear()

    def end_lease(self, lease_id: str) -> None:
        """Ends a lease and removes its keys."""
        self.ended.add(lease_id)
        for key in [k for k, v in self.leases.items() if v == lease_id]:
            self.values.pop(key, None)

    def _fail(self, fault: str) -> None:
        if fault == "down" or self.is_down:
            raise errors.UnavailableError("The service is down.", _REMEDY)
        if fault == "limited":
            raise errors.RateLimitedError("Too many calls.", _REMEDY,
                                          datetime.timedelta(seconds=7))

    def _write(self, key, value, expected_revision, lease_id):
        fault = self.faults.popleft() if self.faults else ""
        self._fail(fault)
        self.writes += 1
        if fault == "late":
            self._late.append((key, value, expected_revision, lease_id))
        if fault in ("lost", "late"):
            raise errors.UncertainWriteError("Lost.", _REMEDY)
        revision = self._apply(key, value, expected_revision, lease_id)
        if fault == "done":
            raise errors.UncertainWriteError("Lost.", _REMEDY)
        return revision

    def _apply(self, key, value, expected_revision, lease_id):
        present = self.values.get(key)
        revision = present.revision if present else 0
        if revision != expected_revision:
            raise errors.ConflictError("Conflict.", _REMEDY, revision)
        self._revision += 1
        if value is None:
            del self.values[key]
        else:
            self.values[key] = keyvalue.StoredValue(key, value, self._revision)
            self.leases[key] = lease_id
        return self._revision
