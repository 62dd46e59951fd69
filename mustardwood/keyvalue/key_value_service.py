"""The interface of the platform's key-value service."""

import datetime
import typing

from mustardwood.keyvalue import lease as lease_module
from mustardwood.keyvalue import stored_value


class KeyValueService(typing.Protocol):
    """Compare-and-swap, leases and watches.

    Every method may raise `errors.UnavailableError` (no effect),
    `errors.RateLimitedError` (no effect) and, if it writes,
    `errors.UncertainWriteError` (it may have taken effect).
    """

    async def get(self, key: str) -> stored_value.StoredValue | None:
        """Returns a key's value, or None when the key is absent."""

    async def list(self, prefix: str) -> tuple[stored_value.StoredValue, ...]:
        """Returns the values of all keys that start with `prefix`."""

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes by compare-and-swap.

        Args:
            key: The key.
            value: The new value.
            expected_revision: Present revision; 0 when the key is absent.
            lease_id: Lease whose end deletes the key.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key has another revision.
            LeaseLostError: The lease is unknown or has ended.
        """

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Deletes by compare-and-swap; raises `ConflictError` as `put`."""

    async def watch(
            self, key: str, after_revision: int,
            timeout: datetime.timedelta) -> stored_value.StoredValue | None:
        """Waits for a revision above `after_revision`; None on timeout."""

    async def grant_lease(
            self, time_to_live: datetime.timedelta) -> lease_module.Lease:
        """Grants a lease."""

    async def renew_lease(self, lease_id: str) -> None:
        """Renews a lease; raises `LeaseLostError` when it has ended."""

    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
