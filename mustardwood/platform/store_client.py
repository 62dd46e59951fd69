"""Client of the platform's key-value store."""

import base64
import collections
import collections.abc
import dataclasses
import datetime
import typing
import urllib.parse

import msgspec
from twisted.internet import defer

from mustardwood import dispatch
from mustardwood import errors
from mustardwood import http1

CALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
"""Time in which a response begins; a store slowed down a hundredfold responds
in 0.4 s."""
_WATCH_MARGIN = datetime.timedelta(milliseconds=600)
"""Time after the end of a watch's wait in which its response begins."""
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response's body; that of a page of items is about 1.4 MB.

Several calls are in progress at a time, and responses are buffered whole.
"""
_DEFAULT_RETRY_AFTER = datetime.timedelta(milliseconds=500)
"""Delay after a rate-limited call whose response names no delay."""
_MILLISECOND = datetime.timedelta(milliseconds=1)
_ERA_HEADER = b"store-era"
_WATCH_PATH = "/kv-watch"
_MAX_ERA_DIGITS = 18
"""Maximum number of digits of an era, so that it fits into 64 bits."""


class Position(typing.NamedTuple):
    """A position in the store's sequence of changes.

    A store that is restored from an older copy gives out revisions again. Each
    restore starts a new era, so a later era is newer whatever the revision.

    Attributes:
        era: Number of the era; 0 if the store names none.
        revision: The store's revision in that era.
    """

    era: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True)
class Lease:
    """A lease, whose id is only valid in its era.

    Attributes:
        lease_id: Id that the store has given it.
        era: The store's era when it was granted.
    """

    lease_id: int
    era: int


class Item(msgspec.Struct, frozen=True):
    """A key with its value, or the removal of a key.

    Attributes:
        key: The key.
        value: The value in base64; None if the key was removed.
        revision: The store's revision at which the key was last changed.
        era: The store's era when it returned the item.
    """

    key: str
    value: str | None = None
    revision: int = 0
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the last change."""
        return Position(self.era, self.revision)

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


class _Written(msgspec.Struct):
    revision: int


class _Grant(msgspec.Struct, frozen=True):
    lease_id: int


@dataclasses.dataclass(frozen=True)
class _Response:
    status: int
    body: bytes
    retry_after: datetime.timedelta | None
    era: int


class HistoryLostError(errors.KeyValueError):
    """The store no longer holds the history that a watch needs."""

    code = "key_value_history_lost"


class HistoryTooLongError(HistoryLostError):
    """The response to a watch is longer than the caller wants."""

    code = "key_value_history_too_long"


class EraChangedError(HistoryLostError):
    """The store was restored, so positions and leases are no longer valid."""

    code = "key_value_era_changed"


class StoreClient:
    """Calls the store and raises typed errors for calls that fail.

    Every response names the store's era. Once a response of a later era has
    been received, those of earlier eras are failures: they show contents that
    the store may have lost.

    Attributes:
        calls: Number of calls by the first part of their path.
    """

    def __init__(self, address: tuple[str, int], pool: http1.ConnectionPool,
                 scheduler: dispatch.Scheduler) -> None:
        self._address = address
        self._pool = pool
        self._scheduler = scheduler
        self._era: int | None = None
        self._era_listeners: list[collections.abc.Callable[[], None]] = []
        self._calls_of_era: dict[_CallListener, http1.Exchange] = {}
        self._watches: dict[_CallListener, http1.Exchange] = {}
        self._progress: set[http1.ProgressTimeout] = set()
        self.calls: collections.Counter[str] = collections.Counter()

    def add_era_listener(self,
                         listener: collections.abc.Callable[[], None]) -> None:
        """Adds a function that is called when a new era has begun."""
        self._era_listeners.append(listener)

    @property
    def is_receiving(self) -> bool:
        """Whether a response has begun to arrive and does not stall."""
        return any(each.has_begun for each in self._progress)

    async def read_key(self, key: str) -> tuple[Item | None, Position]:
        """Reads a key.

        Returns:
            The item, None if the key does not exist, and the store's position.
        """
        response = await self._call("GET", "/kv-key", {"key": key})
        body = response.body or b"{}"
        position = Position(response.era,
                            msgspec.json.decode(body, type=Changes).at)
        if response.status == 404:
            return None, position
        return (_set_era(msgspec.json.decode(body, type=Item),
                         response.era), position)

    async def read_range(self, prefix: str, era: int) -> list[Item]:
        """Returns all items under a prefix, except those that are malformed.

        Raises:
            EraChangedError: If the store is no longer in the era `era`.
        """
        items: list[Item] = []
        after = ""
        while True:
            query = {"path_prefix": prefix}
            if after:
                query["after"] = after
            response = await self._call("GET", "/kv-range", query, era=era)
            page = msgspec.json.decode(response.body, type=Page)
            found = decode_items(page.entries, era)
            items.extend(found)
            if not page.has_more or not found:
                return items
            after = found[-1].key

    async def watch(
            self,
            prefix: str,
            after: Position,
            wait: datetime.timedelta,
            max_bytes: int = _MAX_RESPONSE_BYTES
    ) -> tuple[list[Item], Position]:
        """Waits for changes under a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Position after which changes are returned.
            wait: Time for which the store waits for a change.
            max_bytes: Size in bytes beyond which the response is not received.

        Returns:
            The changes, none if the time has passed without one, and the
            position from which the next watch continues.

        Raises:
            EraChangedError: If the store is no longer in the era of `after`,
                as any call's response may show in the meantime.
            HistoryTooLongError: If the response is longer than `max_bytes`.
        """
        query = {
            "path_prefix": prefix,
            "after": str(after.revision),
            "wait_ms": str(wait // datetime.timedelta(milliseconds=1)),
        }
        response = await self._call("GET",
                                    _WATCH_PATH,
                                    query,
                                    timeout=wait + _WATCH_MARGIN,
                                    era=after.era,
                                    max_bytes=max_bytes)
        changes = msgspec.json.decode(response.body, type=Changes)
        return (decode_items(changes.events,
                             after.era), Position(after.era, changes.at))

    def abort_watches(self) -> None:
        """Fails the pending watches, whose connection no longer works."""
        for listener, exchange in list(self._watches.items()):
            exchange.abort()
            listener.receive_failure(True, "the watch missed a change")

    async def grant_lease(self, time_to_live: datetime.timedelta) -> Lease:
        """Creates a lease."""
        body = {"ttl_ms": time_to_live // _MILLISECOND}
        response = await self._call("POST", "/kv-lease", body=body)
        return Lease(
            msgspec.json.decode(response.body, type=_Grant).lease_id,
            response.era)

    async def renew_lease(self, lease: Lease) -> None:
        """Renews a lease.

        Raises:
            errors.LeaseLostError: If the lease has ended.
        """
        await self._call_with_lease("POST", f"/kv-keep/{lease.lease_id}", lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which removes its keys.

        Raises:
            errors.LeaseLostError: If the lease has ended before.
        """
        await self._call_with_lease("DELETE", f"/kv-lease-end/{lease.lease_id}",
                                    lease)

    async def write_key(self, key: str, value: bytes, lease: Lease) -> None:
        """Writes a key under a lease, regardless of its present value.

        Raises:
            errors.LeaseLostError: If the lease has ended.
        """
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease_id": lease.lease_id,
        }
        body = {"expected_revision": [], "write": [row], "remove": []}
        await self._call_with_lease("POST", "/kv-txn", lease, body)

    async def replace_key(self,
                          key: str,
                          value: bytes,
                          revision: int,
                          lease: Lease | None = None,
                          conditions: collections.abc.Mapping[str, int] |
                          None = None,
                          era: int | None = None) -> int | None:
        """Writes a key if it has not changed.

        A write without an answer may take effect seconds later, if the key has
        not changed and the lease has not ended by then.

        Args:
            key: The key.
            value: The new value.
            revision: Revision of the key's last change; 0 if it must not exist.
            lease: Lease under which the key is written; None for none.
            conditions: Revisions of the last changes of other keys that must
                not have changed either; None for none.
            era: The store's era of these revisions; it is not needed with a
                lease. None to write in any era.

        Returns:
            The store's new revision; None if a key has changed.

        Raises:
            errors.LeaseLostError: If the lease has ended.
            EraChangedError: If the store is no longer in the era `era`. The
                write may have taken effect, or do so later.
        """
        row = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease_id": 0 if lease is None else lease.lease_id,
        }
        body = {
            "expected_revision": [{
                "key": each,
                "revision": expected
            } for each, expected in {
                key: revision,
                **(conditions or {})
            }.items()],
            "write": [row],
            "remove": []
        }
        if lease is None:
            response = await self._call("POST",
                                        "/kv-txn",
                                        body=body,
                                        era=era,
                                        accepted=(200, 412))
        else:
            response = await self._call_with_lease("POST",
                                                   "/kv-txn",
                                                   lease,
                                                   body,
                                                   accepted=(200, 404, 412))
        if response.status == 412:
            return None
        return msgspec.json.decode(response.body, type=_Written).revision

    async def _call_with_lease(
        self,
        method: str,
        path: str,
        lease: Lease,
        body: dict[str, typing.Any] | None = None,
        accepted: collections.abc.Container[int] = (200, 404)
    ) -> _Response:
        """Makes a call that names a lease.

        A restored store may have given the lease's id to another VM, so a
        lease of an earlier era counts as ended whatever the response.
        """
        try:
            response = await self._call(method,
                                        path,
                                        body=body,
                                        era=lease.era,
                                        accepted=accepted)
        except EraChangedError as error:
            raise errors.LeaseLostError(error.message,
                                        "Open another one.") from error
        if response.status == 404:
            raise errors.LeaseLostError("The lease has ended.",
                                        "Open another one.")
        return response

    async def _send(self, request: http1.HttpRequest,
                    timeout: datetime.timedelta, depends_on_era: bool,
                    max_bytes: int) -> _Response:
        listener = _CallListener(max_bytes)
        exchange = self._pool.send(self._address,
                                   request,
                                   listener,
                                   max_body_bytes=_MAX_RESPONSE_BYTES)
        if depends_on_era:
            self._calls_of_era[listener] = exchange
        if request.target.startswith(_WATCH_PATH):
            self._watches[listener] = exchange
        progress = http1.ProgressTimeout(
            self._scheduler, timeout, lambda: _abort_call(exchange, listener))
        listener.on_data = progress.record
        self._progress.add(progress)
        try:
            return await listener.deferred
        except HistoryTooLongError:
            exchange.abort()
            raise
        finally:
            progress.cancel()
            self._progress.discard(progress)
            self._calls_of_era.pop(listener, None)
            self._watches.pop(listener, None)

    def _record_era(self, era: int) -> None:
        if self._era is not None and era <= self._era:
            return
        is_first = self._era is None
        self._era = era
        if is_first:
            return
        # Calls that are pending continue from a position or a lease that the
        # store may have lost.
        for listener, exchange in list(self._calls_of_era.items()):
            exchange.abort()
            listener.fail(_make_era_error())
        for notify in self._era_listeners:
            notify()

    async def _call(self,
                    method: str,
                    path: str,
                    query: dict[str, str] | None = None,
                    timeout: datetime.timedelta = CALL_TIMEOUT,
                    body: dict[str, typing.Any] | None = None,
                    era: int | None = None,
                    accepted: collections.abc.Container[int] = (200, 404),
                    max_bytes: int = _MAX_RESPONSE_BYTES) -> _Response:
        """Makes a call; `era` is the only era in which it is valid, if any."""
        if era not in (None, self._era):
            raise _make_era_error()
        self.calls["/" + path.split("/")[1]] += 1
        target = f"{path}?{urllib.parse.urlencode(query)}" if query else path
        request_headers = [(b"Host",
                            f"{self._address[0]}:{self._address[1]}".encode())]
        content = b""
        if body is not None:
            request_headers.append((b"Content-Type", b"application/json"))
            content = msgspec.json.encode(body)
        request = http1.HttpRequest(method, target, request_headers, content)
        response = await self._send(request, timeout, era is not None,
                                    max_bytes)
        self._record_era(response.era)
        if era not in (None, self._era):
            raise _make_era_error()
        if response.status == 410:
            raise HistoryLostError(
                "The store has dropped the history that the watch needs.",
                "Read the keys again.")
        if response.status == 429:
            raise errors.RateLimitedError(
                "The store's rate limit refused the call.", "Call again later.",
                response.retry_after or _DEFAULT_RETRY_AFTER)
        if response.status not in accepted:
            raise errors.UnavailableError(
                f"The store responded to {path} with status {response.status}.",
                "Call again; calls are retried until the store responds.")
        if response.era != self._era:
            raise errors.UnavailableError(
                f"The response to {path} is of the store's era {response.era}, "
                f"which has ended.",
                "Call again; calls are retried until the store responds.")
        return response


def decode_items(rows: tuple[msgspec.Raw, ...], era: int) -> list[Item]:
    """Decodes items of an era; malformed ones are omitted."""
    items = []
    for row in rows:
        try:
            items.append(_set_era(msgspec.json.decode(row, type=Item), era))
        except msgspec.MsgspecError:
            continue
    return items


def _set_era(item: Item, era: int) -> Item:
    return item if item.era == era else msgspec.structs.replace(item, era=era)


def _make_era_error() -> EraChangedError:
    return EraChangedError("The store was restored from a copy.",
                           "Read the keys again and open new leases.")


def _abort_call(exchange: http1.Exchange, listener: "_CallListener") -> None:
    exchange.abort()
    listener.receive_failure(True, "no answer in time")


class _CallListener:
    """Collects the response to a call.

    Attributes:
        deferred: Receives the response, or an error.
        on_data: Called with the number of bytes of each part of the body.
    """

    def __init__(self, max_bytes: int) -> None:
        """Creates a listener.

        Args:
            max_bytes: Size in bytes beyond which a body fails the call.
        """
        self._max_bytes = max_bytes
        self.deferred: defer.Deferred[_Response] = defer.Deferred()
        self.on_data: collections.abc.Callable[[int], None] = lambda count: None
        self._status = 0
        self._era = 0
        self._retry_after: datetime.timedelta | None = None
        self._body = bytearray()

    def accepts(self, status: int, response_headers: http1.Headers) -> bool:
        """Accepts every response."""
        del status, response_headers
        return True

    def receive_head(self, status: int,
                     response_headers: http1.Headers) -> None:
        """Records the status, the era and the delay before a retry."""
        self._status = status
        for name, value in response_headers:
            if name.lower() == b"retry-after":
                self._retry_after = _parse_seconds(value)
            elif name.lower() == _ERA_HEADER:
                self._era = _parse_era(value)
            elif name.lower() == b"content-length" and value.isdigit():
                self._check_size(int(value))

    def receive_data(self, data: bytes) -> None:
        """Collects a part of the body."""
        self._body += data
        self.on_data(len(data))
        self._check_size(len(self._body))

    def receive_end(self) -> None:
        """Delivers the response to `deferred`."""
        self._deliver(
            _Response(self._status, bytes(self._body), self._retry_after,
                      self._era))

    def receive_failure(self, was_sent: bool, reason: str) -> None:
        """Delivers the failure to `deferred`."""
        del was_sent
        self._deliver(
            errors.UnavailableError(
                f"The store did not answer: {reason}.",
                "Call again; calls are retried until the store responds."))

    def _check_size(self, size: int) -> None:
        if size > self._max_bytes:
            self._deliver(
                HistoryTooLongError(
                    f"The response has {size} bytes or more, of "
                    f"{self._max_bytes} that are received.",
                    "Read the keys again."))

    def fail(self, error: Exception) -> None:
        """Delivers an error to `deferred`, unless the call has ended."""
        self._deliver(error)

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
    except (ValueError, OverflowError):
        return None


def _parse_era(value: bytes) -> int:
    """Returns an era; 0 if it is malformed, as for a store without eras."""
    if value.isdigit() and len(value) <= _MAX_ERA_DIGITS:
        return int(value)
    return 0
