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
    """A `KeyValueService` over HTTP with JSON bodies.

    Args:
        client: Client of the platform.
    """

    def __init__(self, client: platform_client.PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any, clock: timing.Clock) -> typing.Self:
        """Returns a service for the platform named in the settings."""
        del clock  # Timeouts are measured by the reactor.
        return cls(
            platform_client.PlatformClient.from_settings(settings, reactor))

    @property
    def counts(self) -> collections.Counter[tuple[str, str]]:
        """Number of calls by kind and result (``ok`` or an error code)."""
        return self._client.counts

    async def get(self, key: str) -> stored_value.StoredValue | None:
        """Returns a key's value, or None when the key is absent."""
        request = platform_client.Request("get", "GET", _make_path("kv", key))
        response = await self._client.send(request)
        return _decode_value(response)

    async def list(self, prefix: str) -> tuple[stored_value.StoredValue, ...]:
        """Returns the values of all keys that start with `prefix`."""
        request = platform_client.Request("list", "GET", "/kv",
                                          {"prefix": prefix})
        response = await self._client.send(request)
        return _convert(response.body.get("values"),
                        tuple[stored_value.StoredValue, ...])

    async def put(self,
                  key: str,
                  value: str,
                  *,
                  expected_revision: int,
                  lease_id: str | None = None) -> int:
        """Writes a value; see `KeyValueService.put`."""
        body: dict[str, typing.Any] = {
            "value": value,
            "expected_revision": expected_revision,
        }
        if lease_id is not None:
            body["lease_id"] = lease_id
        response = await self._write("put", "PUT", _make_path("kv", key), body)
        _raise_if_conflict(key, response)
        _raise_if_lease_lost(lease_id, response)
        return _convert_write_response(response.body.get("revision"), int)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Deletes a key; see `KeyValueService.delete`."""
        parameters = {"expected_revision": str(expected_revision)}
        request = platform_client.Request("delete",
                                          "DELETE",
                                          _make_path("kv", key),
                                          parameters,
                                          writes=True)
        _raise_if_conflict(key, await self._client.send(request))

    async def watch(
            self, key: str, after_revision: int,
            timeout: datetime.timedelta) -> stored_value.StoredValue | None:
        """Waits for a revision above `after_revision`; None on timeout."""
        parameters = {
            "after_revision": str(after_revision),
            "timeout_seconds": str(timeout.total_seconds()),
        }
        request = platform_client.Request("watch",
                                          "GET",
                                          _make_path("watch", key),
                                          parameters,
                                          extra_time=timeout)
        return _decode_value(await self._client.send(request))

    async def grant_lease(
            self, time_to_live: datetime.timedelta) -> lease_module.Lease:
        """Grants a new lease."""
        body = {"time_to_live_seconds": time_to_live.total_seconds()}
        response = await self._write("grant_lease", "POST", "/leases", body)
        return lease_module.Lease(
            _convert_write_response(response.body.get("lease_id"), str),
            _convert_write_response(response.body.get("fencing_number"), int),
            time_to_live)

    async def renew_lease(self, lease_id: str) -> None:
        """Renews a lease; raises `LeaseLostError` if it has ended."""
        path = _make_path("leases", lease_id) + "/renew"
        response = await self._write("renew_lease", "POST", path, {})
        _raise_if_lease_lost(lease_id, response)

    async def revoke_lease(self, lease_id: str) -> None:
        """Ends a lease and deletes its keys."""
        path = _make_path("leases", lease_id)
        await self._write("revoke_lease", "DELETE", path, None)

    async def _write(
            self, kind: str, method: str, path: str,
            body: dict[str, typing.Any] | None) -> platform_client.Response:
        request = platform_client.Request(kind,
                                          method,
                                          path,
                                          body=body,
                                          writes=True)
        return await self._client.send(request)


_Converted = typing.TypeVar("_Converted")


def _make_path(collection: str, name: str) -> str:
    return f"/{collection}/{urllib.parse.quote(name, safe='')}"


def _decode_value(
        response: platform_client.Response) -> stored_value.StoredValue | None:
    absent = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.NO_CONTENT)
    if response.status in absent:
        return None
    return _convert(response.body, stored_value.StoredValue)


def _raise_if_conflict(key: str, response: platform_client.Response) -> None:
    if response.status == http.HTTPStatus.CONFLICT:
        raise errors.ConflictError(
            f"key {key} has a different revision than expected.",
            "Read the key and try again.",
            _convert(response.body.get("revision"), int))


def _raise_if_lease_lost(lease_id: str | None,
                         response: platform_client.Response) -> None:
    if response.status == http.HTTPStatus.GONE:
        raise errors.LeaseLostError(
            f"lease {lease_id} is unknown or has ended.", "Grant a new lease.")


def _convert(value: typing.Any, kind: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise errors.UnavailableError(
            f"the platform's response can't be decoded: {error}.",
            "Check that platform_url names the platform.") from error


def _convert_write_response(value: typing.Any,
                            kind: type[_Converted]) -> _Converted:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        raise errors.UncertainWriteError(
            f"the platform's response to a write can't be decoded: {error}.",
            "Read the stored value before the next write.") from error
