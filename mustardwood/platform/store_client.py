"""Client of the platform's key-value store."""

import base64
import collections
import datetime
import typing
import urllib.parse

import msgspec
from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1

CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Timeout of a call; a store slowed down a hundredfold responds in 0.4 s."""
_WATCH_MARGIN = datetime.timedelta(milliseconds=600)
"""Time after the end of a watch's wait at which its connection is aborted."""
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response's body; that of a page of items is about 1.4 MB.

Several calls are in progress at a time, and responses are buffered whole.
"""
_DEFAULT_RETRY_AFTER = datetime.timedelta(milliseconds=500)
"""Delay after a rate-limited call whose response names no delay."""
_MILLISECOND = datetime.timedelta(milliseconds=1)


class Item(msgspec.Struct, frozen=True):
    """A key with its value, or the removal of a key.

    Attributes:
        key: The key.
        value: The value in base64; None if the key was removed.
        revision: The store's revision at which the key was last changed.
    """

    key: str
    value: str | None = None
    revision: int = 0

    def decode_value(self) -> bytes:
        """Returns the decoded value; empty if it is not valid base64."""
        try:
            return base64.b64decode(self.value or "", validate=True)
        except ValueError:
            return b""


class Page(msgspec.Struct, frozen=True):
    """One page of a range of items.

    Attributes:
        entries: The encoded items.
        has_more: Whether further pages follow.
        at: The store's revision when it responded.
    """

    entries: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False
    at: int = 0


class Changes(msgspec.Struct, frozen=True):
    """The changes that a watch returns.

    Attributes:
        events: The encoded items that changed.
        at: The revision from which the next watch continues.
    """

    events: tuple[msgspec.Raw, ...] = ()
    at: int = 0


class _Lease(msgspec.Struct, frozen=True):
    lease_id: int


class HistoryLostError(errors.KeyValueError):
    """The store no longer holds the history that a watch needs."""

    code = "key_value_history_lost"


class StoreClient:
    """Calls the store and raises typed errors for calls that fail.

    Attributes:
        calls: Number of calls by the first part of their path.
    """

    def __init__(self, address: tuple[str, int], pool: http1.ConnectionPool,
                 scheduler: dispatch.Scheduler) -> None:
        self._address = address
        self._pool = pool
        self._scheduler = scheduler
        self.calls: collections.Counter[str] = collections.Counter()

    async def read_key(self, key: str) -> tuple[Item | None, int]:
        """Reads a key.

        Returns:
            The item, None if the key does not exist, and the store's revision.
        """
        status, body = await self._call("GET", "/kv-key", {"key": key})
        if status == 404:
            found = msgspec.json.decode(body or b"{}", type=Changes)
            return None, found.at
        return (msgspec.json.decode(body, type=Item),
                msgspec.json.decode(body, type=Changes).at)

    async def read_range(self, prefix: str) -> list[Item]:
        """Returns all items under a prefix, except those that are malformed."""
        items: list[Item] = []
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            _, body = await self._call("GET", "/kv-range", query)
            page = msgspec.json.decode(body, type=Page)
            found = decode_items(page.entries)
            items.extend(found)
            if not page.has_more or not found:
                return items
            after = found[-1].key

    async def watch(self, prefix: str, after: int,
                    wait: datetime.timedelta) -> tuple[list[Item], int]:
        """Waits for changes under a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait: Time for which the store waits for a change.

        Returns:
            The changes, none if the time has passed without one, and the
            revision from which the next watch continues.
        """
        query = {
            "path_prefix": prefix,
            "after": str(after),
            "wait_ms": str(wait // datetime.timedelta(milliseconds=1)),
        }
        _, body = await self._call("GET",
                                   "/kv-watch",
                                   query,
                                   timeout=wait + _WATCH_MARGIN)
        changes = msgspec.json.decode(body, type=Changes)
        return decode_items(changes.events), changes.at

    async def grant_lease(self, time_to_live: datetime.timedelta) -> int:
        """Creates a lease and returns its id."""
        body = {"ttl_ms": time_to_live // _MILLISECOND}
        _, response = await self._call("POST", "/kv-lease", body=body)
        return msgspec.json.decode(response, type=_Lease).lease_id

    async def renew_lease(self, lease_id: int) -> None:
        """Renews a lease.

        Raises:
            errors.LeaseLostError: If the lease has ended.
        """
        status, _ = await self._call("POST", f"/kv-keep/{lease_id}")
        if status == 404:
            raise errors.LeaseLostError("The lease has ended.",
                                        "Open another one.")

    async def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease, which removes its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease_id}")

    async def write_key(self, key: str, value: bytes, lease_id: int) -> None:
        """Writes a key under a lease, regardless of its present value.

        Raises:
            errors.LeaseLostError: If the lease has ended.
        """
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease_id": lease_id,
        }
        body = {"expected_revision": [], "write": [row], "remove": []}
        status, _ = await self._call("POST", "/kv-txn", body=body)
        if status == 404:
            raise errors.LeaseLostError("The lease has ended.",
                                        "Open another one.")

    async def _send(
        self, request: http1.HttpRequest, timeout: datetime.timedelta
    ) -> tuple[int, bytes, datetime.timedelta | None]:
        listener = _CallListener()
        exchange = self._pool.send(self._address,
                                   request,
                                   listener,
                                   max_body_bytes=_MAX_RESPONSE_BYTES)
        timer = self._scheduler.call_later(
            timeout, lambda: _abort_call(exchange, listener))
        try:
            return await listener.deferred
        finally:
            timer.cancel()

    async def _call(
            self,
            method: str,
            path: str,
            query: dict[str, str] | None = None,
            timeout: datetime.timedelta = CALL_TIMEOUT,
            body: dict[str, typing.Any] | None = None) -> tuple[int, bytes]:
        self.calls["/" + path.split("/")[1]] += 1
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        request_headers = [(b"Host",
                            f"{self._address[0]}:{self._address[1]}".encode())]
        content = b""
        if body is not None:
            request_headers.append((b"Content-Type", b"application/json"))
            content = msgspec.json.encode(body)
        request = http1.HttpRequest(method, target, request_headers, content)
        status, response, retry_after = await self._send(request, timeout)
        if status == 410:
            raise HistoryLostError(
                "The store has dropped the history that the watch needs.",
                "Read the keys again.")
        if status == 429:
            raise errors.RateLimitedError(
                "The store's rate limit refused the call.", "Call again later.",
                retry_after or _DEFAULT_RETRY_AFTER)
        if status not in (200, 404):
            raise errors.UnavailableError(
                f"The store responded to {path} with status {status}.",
                "Call again; calls are retried until the store responds.")
        return status, response


def decode_items(rows: tuple[msgspec.Raw, ...]) -> list[Item]:
    """Decodes items; malformed ones are omitted."""
    items = []
    for row in rows:
        try:
            items.append(msgspec.json.decode(row, type=Item))
        except msgspec.MsgspecError:
            continue
    return items


def _abort_call(exchange: http1.Exchange, listener: "_CallListener") -> None:
    exchange.abort()
    listener.receive_failure(True, "no answer in time")


class _CallListener:
    """Collects the response to a call."""

    def __init__(self) -> None:
        self.deferred: defer.Deferred[tuple[int, bytes, datetime.timedelta |
                                            None]] = defer.Deferred()
        self._status = 0
        self._retry_after: datetime.timedelta | None = None
        self._body = bytearray()

    def accepts(self, status: int, response_headers: http1.Headers) -> bool:
        """Accepts every response."""
        del status, response_headers
        return True

    def receive_head(self, status: int,
                     response_headers: http1.Headers) -> None:
        """Records the status and the delay before a retry."""
        self._status = status
        for name, value in response_headers:
            if name.lower() == b"retry-after":
                self._retry_after = _parse_seconds(value)

    def receive_data(self, data: bytes) -> None:
        """Collects a part of the body."""
        self._body += data

    def receive_end(self) -> None:
        """Delivers the response to `deferred`."""
        self._deliver((self._status, bytes(self._body), self._retry_after))

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Delivers the failure to `deferred`."""
        del was_sent
        self._deliver(
            errors.UnavailableError(
                f"The store did not answer: {reason}.",
                "Call again; calls are retried until the store responds."))

    def _deliver(self, result: typing.Any) -> None:
        if self.deferred.called:
            return
        if isinstance(result, Exception):
            self.deferred.errback(result)
        else:
            self.deferred.callback(result)


def _parse_seconds(value: bytes) -> datetime.timedelta | None:
    try:
        return datetime.timedelta(seconds=float(value))
    except ValueError:
        return None
