"""Values and leases of the stand-in for the key-value service."""

import dataclasses
import datetime

from mustardwood import errors
from mustardwood import keyvalue


@dataclasses.dataclass
class _ActiveLease:
    """A lease in force.

    Attributes:
        lease: The lease as granted.
        expires_at: Monotonic time at which it expires.
        keys: Keys to delete when it ends.
    """

    lease: keyvalue.Lease
    expires_at: datetime.timedelta
    keys: set[str]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A saved state of the store.

    Attributes:
        values: Stored values by key.
        revision: Revision of the last write.
    """

    values: dict[str, keyvalue.StoredValue]
    revision: int


class Store:
    """Compare-and-swap and leases, in memory and without I/O.

    Methods with the argument `now`, the current monotonic time, first end the
    leases that have expired by then.
    """

    def __init__(self) -> None:
        self._values: dict[str, keyvalue.StoredValue] = {}
        self._leases: dict[str, _ActiveLease] = {}
        self._revision = 0
        self._fencing_number = 0

    def get(self, key: str,
            now: datetime.timedelta) -> keyvalue.StoredValue | None:
        """Returns the value of a key; None if the key does not exist."""
        self._expire(now)
        return self._values.get(key)

    def list(self, prefix: str,
             now: datetime.timedelta) -> tuple[keyvalue.StoredValue, ...]:
        """Returns the values whose keys start with `prefix`, in key order."""
        self._expire(now)
        return tuple(self._values[key]
                     for key in sorted(self._values)
                     if key.startswith(prefix))

    def put(self, key: str, value: str, expected_revision: int,
            lease_id: str | None, now: datetime.timedelta) -> int:
        """Writes by compare-and-swap and returns the new revision.

        Args:
            key: The key.
            value: The new value.
            expected_revision: Revision that the key must have; 0 if it must
                not exist.
            lease_id: Id of a lease with which the key is deleted; None for
                none.
            now: Current monotonic time.

        Returns:
            The new revision of the key.

        Raises:
            ConflictError: The key has another revision.
            LeaseLostError: The lease is unknown or has ended.
        """
        self._expire(now)
        if lease_id is not None:
            self._find_lease(lease_id)
        self._check_expected_revision(key, expected_revision)
        self._revision += 1
        self._values[key] = keyvalue.StoredValue(key, value, self._revision)
        for active_lease in self._leases.values():
            active_lease.keys.discard(key)
        if lease_id is not None:
            self._leases[lease_id].keys.add(key)
        return self._revision

    def delete(self, key: str, expected_revision: int,
               now: datetime.timedelta) -> None:
        """Deletes by compare-and-swap; raises `ConflictError` like `put`."""
        self._expire(now)
        self._check_expected_revision(key, expected_revision)
        self._remove(key)

    def grant_lease(self, time_to_live: datetime.timedelta,
                    now: datetime.timedelta) -> keyvalue.Lease:
        """Grants a lease with the next fencing number."""
        self._expire(now)
        self._fencing_number += 1
        lease_id = f"lease-{self._fencing_number}"
        lease = keyvalue.Lease(lease_id, self._fencing_number, time_to_live)
        self._leases[lease_id] = _ActiveLease(lease, now + time_to_live, set())
        return lease

    def renew_lease(self, lease_id: str, now: datetime.timedelta) -> None:
        """Renews a lease; raises `LeaseLostError` when it has ended."""
        self._expire(now)
        active_lease = self._find_lease(lease_id)
        active_lease.expires_at = now + active_lease.lease.time_to_live

    def revoke_lease(self, lease_id: str, now: datetime.timedelta) -> None:
        """Ends a lease, if it has not expired, and deletes its keys."""
        self._expire(now)
        if lease_id in self._leases:
            self._end_lease(lease_id)

    def take_snapshot(self) -> Snapshot:
        """Returns a snapshot of the values; leases are not part of it."""
        return Snapshot(dict(self._values), self._revision)

    def restore(self, snapshot: Snapshot) -> None:
        """Restores earlier values and revisions, and ends all leases.

        Fencing numbers are not restored, so that no number is granted twice.
        """
        self._values = dict(snapshot.values)
        self._revision = snapshot.revision
        self._leases = {}

    def _check_expected_revision(self, key: str, expected: int) -> None:
        stored = self._values.get(key)
        revision = stored.revision if stored else 0
        if revision != expected:
            raise errors.ConflictError(
                f"key {key} has revision {revision}, not {expected}.",
                "Read the key and try again.", revision)

    def _find_lease(self, lease_id: str) -> _ActiveLease:
        active_lease = self._leases.get(lease_id)
        if active_lease is None:
            raise errors.LeaseLostError(f"lease {lease_id} is not in force.",
                                        "Grant a new lease.")
        return active_lease

    def _expire(self, now: datetime.timedelta) -> None:
        for lease_id, active_lease in list(self._leases.items()):
            if active_lease.expires_at <= now:
                self._end_lease(lease_id)

    def _end_lease(self, lease_id: str) -> None:
        active_lease = self._leases.pop(lease_id)
        for key in active_lease.keys:
            self._remove(key)

    def _remove(self, key: str) -> None:
        if self._values.pop(key, None) is not None:
            self._revision += 1
