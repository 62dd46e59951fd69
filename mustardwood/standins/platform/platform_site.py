"""HTTP of the platform stand-in."""

import collections
import collections.abc
import datetime
import http
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import server

from mustardwood import errors
from mustardwood import timing
from mustardwood import vmlist
from mustardwood.standins import fault_injector
from mustardwood.standins import json_http
from mustardwood.standins.platform import faults as faults_module
from mustardwood.standins.platform import rate_limit
from mustardwood.standins.platform import store as store_module
from mustardwood.standins.platform import vm_records
from mustardwood.standins.platform import watchers

_MEGABYTE = 1024 * 1024
"""Largest value, in bytes."""

_RETRY_AFTER = "1"
"""Seconds after which a call over the rate limit may come again."""

_VMS = "vms"
"""Kind of the calls that read the VM list."""

_Handler = collections.abc.Callable[[], typing.Any]


class PlatformSite:
    """Serves a `Store` and a VM list, with faults on demand.

    Args:
        reactor: Timer of delays and watches.
        clock: The clock.

    Attributes:
        app: The routes.
        counts: Calls by kind since the start; a watch counts once.
    """

    def __init__(self, reactor: typing.Any, clock: timing.Clock) -> None:
        self.app = klein.Klein()
        self.counts: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._clock = clock
        self._store = store_module.Store()
        self._snapshots: dict[str, store_module.Snapshot] = {}
        self._records = vm_records.VmRecords()
        self._watchers = watchers.Watchers(reactor)
        self._injector = fault_injector.FaultInjector(faults_module.Faults())
        self._reads = rate_limit.RateLimit(0.0, clock.monotonic())
        self._writes = rate_limit.RateLimit(0.0, clock.monotonic())
        self._add_routes()

    @property
    def _faults(self) -> faults_module.Faults:
        return self._injector.faults

    def _add_routes(self) -> None:
        route = self.app.route
        route("/kv/<path:key>", methods=["GET"])(self._get)
        route("/kv", methods=["GET"])(self._list)
        route("/kv/<path:key>", methods=["PUT"])(self._put)
        route("/kv/<path:key>", methods=["DELETE"])(self._delete)
        route("/watch/<path:key>", methods=["GET"])(self._watch)
        route("/leases", methods=["POST"])(self._grant)
        route("/leases/<lease_id>/renew", methods=["POST"])(self._renew)
        route("/leases/<lease_id>", methods=["DELETE"])(self._revoke)
        route("/vms", methods=["GET"])(self._show_vms)
        route("/counts", methods=["GET"])(self._show_counts)
        route("/switch", methods=["POST"])(self._handle_switch)
        route("/healthz", methods=["GET"])(self._show_health)

    async def _get(self, request: server.Request, key: str) -> typing.Any:

        def read() -> bytes:
            return self._answer_value(request,
                                      self._store.get(key, self._now()))

        return await self._serve_read(request, "get", read)

    async def _list(self, request: server.Request) -> typing.Any:
        prefix = _read_argument(request, "prefix", "")

        def read() -> bytes:
            values = self._store.list(prefix, self._now())
            return json_http.make_json_response(
                request, {"values": msgspec.to_builtins(values)})

        return await self._serve_read(request, "list", read)

    async def _put(self, request: server.Request, key: str) -> typing.Any:
        body = json_http.read_json(request)

        def write() -> bytes:
            if len(body["value"].encode()) > _MEGABYTE:
                return json_http.make_json_response(
                    request, {}, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            revision = self._store.put(key, body["value"],
                                       body["expected_revision"],
                                       body.get("lease_id"), self._now())
            return json_http.make_json_response(request, {"revision": revision})

        return await self._serve_write(request, "put", write)

    async def _delete(self, request: server.Request, key: str) -> typing.Any:
        expected = int(_read_argument(request, "expected_revision", "0"))

        def write() -> bytes:
            self._store.delete(key, expected, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "delete", write)

    async def _grant(self, request: server.Request) -> typing.Any:
        seconds = json_http.read_json(request)["time_to_live_seconds"]

        def write() -> bytes:
            lease = self._store.grant_lease(datetime.timedelta(seconds=seconds),
                                            self._now())
            return json_http.make_json_response(
                request, {
                    "lease_id": lease.lease_id,
                    "fencing_number": lease.fencing_number,
                    "time_to_live_seconds": seconds,
                })

        return await self._serve_write(request, "grant_lease", write)

    async def _renew(self, request: server.Request,
                     lease_id: str) -> typing.Any:

        def write() -> bytes:
            self._store.renew_lease(lease_id, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "renew_lease", write)

    async def _revoke(self, request: server.Request,
                      lease_id: str) -> typing.Any:

        def write() -> bytes:
            self._store.revoke_lease(lease_id, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "revoke_lease", write)

    async def _watch(self, request: server.Request, key: str) -> typing.Any:
        after = int(_read_argument(request, "after_revision", "0"))
        seconds = float(_read_argument(request, "timeout_seconds", "30"))
        refusal = await self._admit(request, "watch", self._reads)
        if refusal is not None:
            return refusal
        end = self._now() + datetime.timedelta(seconds=seconds)
        while not self._is_out("watch"):
            value = self._store.get(key, self._now())
            if value is not None and value.revision > after:
                return self._answer_value(request, value)
            if self._now() >= end:
                request.setResponseCode(http.HTTPStatus.NO_CONTENT)
                return b""
            await self._watchers.wait(end - self._now())
        return self._refuse_in_outage(request)

    async def _show_vms(self, request: server.Request) -> typing.Any:

        def read() -> bytes:
            records = self._records.show(self._now())
            return json_http.make_json_response(
                request, {"vms": msgspec.to_builtins(records)})

        unlimited = rate_limit.RateLimit(0.0, self._now())
        refusal = await self._admit(request, _VMS, unlimited)
        return refusal if refusal is not None else read()

    def _show_counts(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, dict(self.counts))

    def _show_health(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {"healthy": True})

    def _handle_switch(self, request: server.Request) -> bytes:
        """Changes faults, the VM list, or the store's state."""
        body = json_http.read_json(request)
        if "snapshot" in body:
            self._snapshots[body.pop("snapshot")] = self._store.take_snapshot()
        if "restore" in body:
            self._store.restore(self._snapshots[body.pop("restore")])
        records = body.pop("vms", None)
        self._update_faults(body)
        if records is not None:
            lag = datetime.timedelta(seconds=self._faults.vms_lag_seconds)
            converted = msgspec.convert(records, tuple[vmlist.VmRecord, ...])
            self._records.replace(converted, self._now() + lag)
        self._watchers.wake_all()
        return json_http.make_json_response(request,
                                            msgspec.to_builtins(self._faults))

    def _update_faults(self, changes: dict[str, typing.Any]) -> None:
        self._injector.update(changes)
        faults = self._faults
        now = self._now()
        if "reads_per_second" in changes:
            self._reads = rate_limit.RateLimit(faults.reads_per_second, now)
        if "writes_per_second" in changes:
            self._writes = rate_limit.RateLimit(faults.writes_per_second, now)

    async def _serve_read(self, request: server.Request, kind: str,
                          read: _Handler) -> typing.Any:
        refusal = await self._admit(request, kind, self._reads)
        return refusal if refusal is not None else read()

    async def _serve_write(self, request: server.Request, kind: str,
                           write: _Handler) -> typing.Any:
        refusal = await self._admit(request, kind, self._writes)
        if refusal is not None:
            return refusal
        try:
            answer = write()
        except errors.ConflictError as error:
            return json_http.make_json_response(request,
                                                {"revision": error.revision},
                                                http.HTTPStatus.CONFLICT)
        except errors.LeaseLostError:
            return json_http.make_json_response(request, {},
                                                http.HTTPStatus.GONE)
        self._watchers.wake_all()
        if self._injector.take("lost_answers"):
            return self._drop(request)
        return answer

    async def _admit(self, request: server.Request, kind: str,
                     limit: rate_limit.RateLimit) -> typing.Any:
        """Counts a call; returns its answer when it is not carried out."""
        self.counts[kind] += 1
        if self._faults.delay_seconds:
            await task.deferLater(self._reactor, self._faults.delay_seconds)
        if self._faults.hang:
            return await defer.Deferred()
        if self._is_out(kind):
            return self._refuse_in_outage(request)
        if not limit.take(self._now()):
            request.setHeader("retry-after", _RETRY_AFTER)
            return json_http.make_json_response(
                request, {}, http.HTTPStatus.TOO_MANY_REQUESTS)
        return None

    def _is_out(self, kind: str) -> bool:
        """Returns whether calls of a kind are refused."""
        faults = self._faults
        return faults.outage or (faults.store_outage and kind != _VMS)

    def _refuse_in_outage(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {},
                                            http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _drop(self, request: server.Request) -> defer.Deferred[bytes]:
        """Closes the connection without an answer."""
        json_http.reset_connection(request)
        return defer.Deferred()

    def _answer_value(self, request: server.Request,
                      value: typing.Any) -> bytes:
        if value is None:
            return json_http.make_json_response(request, {},
                                                http.HTTPStatus.NOT_FOUND)
        return json_http.make_json_response(request, msgspec.to_builtins(value))

    def _now(self) -> datetime.timedelta:
        return self._clock.monotonic()


def _read_argument(request: server.Request, name: str, default: str) -> str:
    values = request.args.get(name.encode(), [default.encode()])
    return values[0].decode()
