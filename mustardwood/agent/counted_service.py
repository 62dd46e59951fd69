"""Metrics of the calls to the key-value service."""

import datetime
import typing

import prometheus_client

from mustardwood import errors
from mustardwood import keyvalue

_T = typing.TypeVar("_T")


class CountedKeyValueService:
    """A key-value service that counts the calls to another by kind and result.

    Args:
        service: The service that is called.
        registry: Registry of the counter.
    """

    def __init__(self, service: keyvalue.KeyValueService,
                 registry: prometheus_client.CollectorRegistry) -> None:
        self._service = service
        self._calls = prometheus_client.Counter(
            "mustardwood_key_value_calls",
            "Calls to the key-value service.", ["kind", "result"],
            registry=registry)

    async def get(self, key: str) -> keyvalue.StoredValue | None:
        """Returns a key's value, or None when the key is absent."""
        return await self._count("get", self._service.get(key))

    async def list(self, prefix: str) -> tuple[keyvalue.StoredValue, ...]:
        """Returns the values of all keys that start with `prefix`."""
        return await self._count("list", self._service.list(prefix))

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes a value by compare-and-swap; returns its new revision."""
        call = self._service.put(key,
                                 value,
                                 expected_revision=expected_revision,
                                 lease_id=lease_id)
        return await self._count("put", call)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Deletes a key by compare-and-swap."""
        call = self._service.delete(key, expected_revision=expected_revision)
        await self._count("delete", call)

    async def watch(self, key: str, after_revision: int,
                    timeout: datetime.timedelta) -> keyvalue.StoredValue | None:
        """Waits for a revision above `after_revision`; None on timeout."""
        call = self._service.watch(key, after_revision, timeout)
        return await self._count("watch", call)

    async def grant_lease(self,
                          time_to_live: datetime.timedelta) -> keyvalue.Lease:
        """Grants a lease."""
        call = self._service.grant_lease(time_to_live)
        return await self._count("grant_lease", call)

    async def renew_lease(self, lease_id: str) -> None:
        """Renews a lease."""
        await self._count("renew_lease", self._service.renew_lease(lease_id))

    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
        await self._count("revoke_lease", self._service.revoke_lease(lease_id))

    async def _count(self, kind: str, call: typing.Awaitable[_T]) -> _T:
        try:
            result = await call
        except errors.KeyValueError as error:
            self._calls.labels(kind, error.code).inc()
            raise
        self._calls.labels(kind, "ok").inc()
        return result
