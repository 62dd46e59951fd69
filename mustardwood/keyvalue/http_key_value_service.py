"""The platform's key-value service over HTTP."""

import collections
import datetime
import http
import typing
import urllib.parse

import msgspec

from mustardwood import errors
from mustardwood import settings as settings_module
from mustardwood import timing
from mustardwood.keyvalue import lease as lease_module
from mustardwood.keyvalue import platform_client
from mustardwood.keyvalue import stored_value


class HttpKeyValueService:
    """A `KeyValueService` that speaks HTTP with JSON.

    Args:
        calls: Makes the calls.
    """

    def __init__(self, calls: platform_client.PlatformClient) -> None:
        self._calls = calls

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any, clock: timing.Clock) -> typing.Self:
        """Returns the service that the settings name."""
        del clock  # The reactor's timers bound each call.
        return cls(
            platform_client.PlatformClient.from_settings(settings, reactor))

    @property
    def counts(self) -> collections.Counter[tuple[str, str]]:
        """Calls by kind and result (``ok`` or an error code)."""
        return self._calls.counts

    async def get(self, key: str) -> stored_value.StoredValue | None:
        """Returns a key's value, or None when the key is absent."""
        call = platform_client.Request("get", "GET", _make_path("kv", key))
        answer = await self._calls.send(call)
        return _read_value(answer)

    async def list(self, prefix: str) -> tuple[stored_value.StoredValue, ...]:
        """Returns the values of all keys that start with `prefix`."""
        call = platform_client.Request("list", "GET", "/kv", {"prefix": prefix})
        answer = await self._calls.send(call)
        return _convert(answer.body.get("values"),
                        tuple[stored_value.StoredValue, ...])

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes by compare-and-swap and returns the new revision."""
        body: dict[str, typing.Any] = {
            "value": value,
            "expected_revision": expected_revision,
        }
        if lease_id is not None:
            body["lease_id"] = lease_id
        answer = await self._write("put", "PUT", _make_path("kv", key), body)
        _check_conflict(key, answer)
        _check_lease(lease_id, answer)
        return _convert_written(answer.body.get("revision"), int)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Deletes by compare-and-swap; raises `ConflictError` as `put`."""
        parameters = {"expected_revision": str(expected_revision)}
        call = platform_client.Request("delete",
                                       "DELETE",
                                       _make_path("kv", key),
                                       parameters,
                                       writes=True)
        _check_conflict(key, await self._calls.send(call))

    async def watch(
            self, key: str, after_revision: int,
            timeout: datetime.timedelta) -> stored_value.StoredValue | None:
        """Waits for a revision above `after_revision`; None on timeout."""
        parameters = {
            "after_revision": str(after_revision),
            "timeout_seconds": str(timeout.total_seconds()),
        }
        call = platform_client.Request("watch",
                                       "GET",
                                       _make_path("watch", key),
                                       parameters,
                                       extra_time=timeout)
        return _read_value(await self._calls.send(call))

    async def grant_lease(
            self, time_to_live: datetime.timedelta) -> lease_module.Lease:
        """Grants a lease."""
        body = {"time_to_live_seconds": time_to_live.total_seconds()}
        answer = await self._write("grant_lease", "POST", "/leases", body)
        return lease_module.Lease(
            _convert_written(answer.body.get("lease_id"), str),
            _convert_written(answer.body.get("fencing_number"), int),
            time_to_live)

    async def renew_lease(self, lease_id: str) -> None:
        """Renews a lease; raises `LeaseLostError` when it has ended."""
        path = _make_path("leases", lease_id) + "/renew"
        answer = await self._write("renew_lease", "POST", path, {})
        _check_lease(lease_id, answer)

    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
        path = _make_path("leases", lease_id)
        await self._write("revoke_lease", "DELETE", path, None)

    async def _write(
            self, kind: str, method: str, path: str,
            body: dict[str, typing.Any] | None) -> platform_client.Response:
        call = platform_client.Request(kind,
                                       method,
                                       path,
                                       body=body,
                                       writes=True)
        return await self._calls.send(call)


_Converted = typing.TypeVar("_Converted")


def _make_path(collection: str, name: str) -> str:
    return f"/{collection}/{urllib.parse.quote(name, safe='')}"


def _read_value(
        answer: platform_client.Response) -> stored_value.StoredValue | None:
    absent = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.NO_CONTENT)
    if answer.status in absent:
        return None
    return _convert(answer.body, stored_value.StoredValue)


def _check_conflict(key: str, answer: platform_client.Response) -> None:
    if answer.status == http.HTTPStatus.CONFLICT:
        raise errors.ConflictError(f"key {key} has another revision.",
                                   "Read the key and try again.",
                                   _convert(answer.body.get("revision"), int))


def _check_lease(lease_id: str | None,
                 answer: platform_client.Response) -> None:
    if answer.status == http.HTTPStatus.GONE:
        raise errors.LeaseLostError(f"lease {lease_id} is not in force.",
                                    "Grant a new lease.")


def _convert(value: typing.Any, kind: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise errors.UnavailableError(
            f"the platform's answer can't be read: {error}.",
            "Check that platform_url names the platform.") from error


def _convert_written(value: typing.Any, kind: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise errors.UncertainWriteError(
            f"the platform's answer to a write can't be read: {error}.",
            "Read back what is there before the next write.") from error
