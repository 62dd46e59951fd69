"""The interface of the platform's key-value service."""

import datetime
import typing

from mustardwood.keyvalue import lease as lease_module
from mustardwood.keyvalue import stored_value


class KeyValueService(typing.Protocol):
    """A key-value service with compare-and-swap, leases and watches.

    Every method may raise `errors.UnavailableError` and
    `errors.RateLimitedError`, after which the call had no effect. A method that
    writes may also raise `errors.UncertainWriteError`, after which the write
    may have taken effect.
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
        """Writes a value if the key has the expected revision.

        Args:
            key: The key.
            value: The new value.
            expected_revision: Expected revision; 0 when the key is absent.
            lease_id: Id of a lease whose end deletes the key, or None.

        Returns:
            The new revision.

        Raises:
            ConflictError: The key has a different revision.
            LeaseLostError: The lease is unknown or has ended.
        """

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Deletes a key if it has the expected revision.

        Raises:
            ConflictError: The key has a different revision.
        """

    async def watch(
            self, key: str, after_revision: int,
            timeout: datetime.timedelta) -> stored_value.StoredValue | None:
        """Waits for a revision above `after_revision`; None on timeout."""

    async def grant_lease(
            self, time_to_live: datetime.timedelta) -> lease_module.Lease:
        """Grants a new lease."""

    async def renew_lease(self, lease_id: str) -> None:
        """Renews a lease; raises `LeaseLostError` if it has ended."""

    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
