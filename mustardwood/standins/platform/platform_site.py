"""HTTP interface of the platform stand-in."""

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
from mustardwood.standins.platform import rate_limiter
from mustardwood.standins.platform import store as store_module
from mustardwood.standins.platform import vm_records
from mustardwood.standins.platform import watchers

_MAX_VALUE_BYTES = 1024 * 1024
"""Maximum size of a value."""

_RETRY_AFTER_SECONDS = "1"
"""Value of ``Retry-After`` for requests over the rate limit."""

_VM_LIST_KIND = "vms"
"""Kind of the requests that read the VM list."""

_Operation = collections.abc.Callable[[], typing.Any]


class PlatformSite:
    """Serves a `Store` and a VM list, and shows the injected faults.

    Args:
        reactor: Reactor whose timer serves delays and the timeouts of watches.
        clock: The clock.

    Attributes:
        app: The Klein application with the routes.
        counts: Number of requests by kind since the start; a watch is counted
            once, however long it waits.
    """

    def __init__(self, reactor: typing.Any, clock: timing.Clock) -> None:
        self.app = klein.Klein()
        self.counts: collections.Counter[str] = collections.Counter()
        self._reactor = reactor
        self._clock = clock
        self._store = store_module.Store()
        self._snapshots: dict[str, store_module.Snapshot] = {}
        self._vm_records = vm_records.VmRecords()
        self._watchers = watchers.Watchers(reactor)
        self._injector = fault_injector.FaultInjector(faults_module.Faults())
        self._read_limiter = rate_limiter.RateLimiter(0.0, clock.monotonic())
        self._write_limiter = rate_limiter.RateLimiter(0.0, clock.monotonic())
        self._add_routes()

    @property
    def _faults(self) -> faults_module.Faults:
        return self._injector.faults

    def _add_routes(self) -> None:
        route = self.app.route
        route("/kv/<path:key>", methods=["GET"])(self._handle_get)
        route("/kv", methods=["GET"])(self._handle_list)
        route("/kv/<path:key>", methods=["PUT"])(self._handle_put)
        route("/kv/<path:key>", methods=["DELETE"])(self._handle_delete)
        route("/watch/<path:key>", methods=["GET"])(self._handle_watch)
        route("/leases", methods=["POST"])(self._handle_grant_lease)
        route("/leases/<lease_id>/renew",
              methods=["POST"])(self._handle_renew_lease)
        route("/leases/<lease_id>",
              methods=["DELETE"])(self._handle_revoke_lease)
        route("/vms", methods=["GET"])(self._show_vms)
        route("/counts", methods=["GET"])(self._show_counts)
        route("/switch", methods=["POST"])(self._handle_switch)
        route("/healthz", methods=["GET"])(self._show_health)

    async def _handle_get(self, request: server.Request,
                          key: str) -> typing.Any:

        def read() -> bytes:
            return self._make_value_response(request,
                                             self._store.get(key, self._now()))

        return await self._serve_read(request, "get", read)

    async def _handle_list(self, request: server.Request) -> typing.Any:
        prefix = _read_argument(request, "prefix", "")

        def read() -> bytes:
            values = self._store.list(prefix, self._now())
            return json_http.make_json_response(
                request, {"values": msgspec.to_builtins(values)})

        return await self._serve_read(request, "list", read)

    async def _handle_put(self, request: server.Request,
                          key: str) -> typing.Any:
        body = json_http.read_json(request)

        def write() -> bytes:
            if len(body["value"].encode()) > _MAX_VALUE_BYTES:
                return json_http.make_json_response(
                    request, {}, http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            revision = self._store.put(key, body["value"],
                                       body["expected_revision"],
                                       body.get("lease_id"), self._now())
            return json_http.make_json_response(request, {"revision": revision})

        return await self._serve_write(request, "put", write)

    async def _handle_delete(self, request: server.Request,
                             key: str) -> typing.Any:
        expected = int(_read_argument(request, "expected_revision", "0"))

        def write() -> bytes:
            self._store.delete(key, expected, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "delete", write)

    async def _handle_grant_lease(self, request: server.Request) -> typing.Any:
        time_to_live_seconds = json_http.read_json(
            request)["time_to_live_seconds"]

        def write() -> bytes:
            lease = self._store.grant_lease(
                datetime.timedelta(seconds=time_to_live_seconds), self._now())
            return json_http.make_json_response(
                request, {
                    "lease_id": lease.lease_id,
                    "fencing_number": lease.fencing_number,
                    "time_to_live_seconds": time_to_live_seconds,
                })

        return await self._serve_write(request, "grant_lease", write)

    async def _handle_renew_lease(self, request: server.Request,
                                  lease_id: str) -> typing.Any:

        def write() -> bytes:
            self._store.renew_lease(lease_id, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "renew_lease", write)

    async def _handle_revoke_lease(self, request: server.Request,
                                   lease_id: str) -> typing.Any:

        def write() -> bytes:
            self._store.revoke_lease(lease_id, self._now())
            return json_http.make_json_response(request, {})

        return await self._serve_write(request, "revoke_lease", write)

    async def _handle_watch(self, request: server.Request,
                            key: str) -> typing.Any:
        after_revision = int(_read_argument(request, "after_revision", "0"))
        timeout_seconds = float(_read_argument(request, "timeout_seconds",
                                               "30"))
        refusal = await self._admit(request, "watch", self._read_limiter)
        if refusal is not None:
            return refusal
        deadline = self._now() + datetime.timedelta(seconds=timeout_seconds)
        while not self._is_unavailable("watch"):
            value = self._store.get(key, self._now())
            if value is not None and value.revision > after_revision:
                return self._make_value_response(request, value)
            if self._now() >= deadline:
                request.setResponseCode(http.HTTPStatus.NO_CONTENT)
                return b""
            await self._watchers.wait(deadline - self._now())
        return self._refuse_as_unavailable(request)

    async def _show_vms(self, request: server.Request) -> typing.Any:

        def read() -> bytes:
            records = self._vm_records.get_visible(self._now())
            return json_http.make_json_response(
                request, {"vms": msgspec.to_builtins(records)})

        no_limit = rate_limiter.RateLimiter(0.0, self._now())
        refusal = await self._admit(request, _VM_LIST_KIND, no_limit)
        return refusal if refusal is not None else read()

    def _show_counts(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, dict(self.counts))

    def _show_health(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {"healthy": True})

    def _handle_switch(self, request: server.Request) -> bytes:
        """Changes faults or the VM list, or saves or restores the store."""
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
            self._vm_records.replace(converted, self._now() + lag)
        self._watchers.wake_all()
        return json_http.make_json_response(request,
                                            msgspec.to_builtins(self._faults))

    def _update_faults(self, changes: dict[str, typing.Any]) -> None:
        self._injector.update(changes)
        faults = self._faults
        now = self._now()
        if "reads_per_second" in changes:
            self._read_limiter = rate_limiter.RateLimiter(
                faults.reads_per_second, now)
        if "writes_per_second" in changes:
            self._write_limiter = rate_limiter.RateLimiter(
                faults.writes_per_second, now)

    async def _serve_read(self, request: server.Request, kind: str,
                          read: _Operation) -> typing.Any:
        refusal = await self._admit(request, kind, self._read_limiter)
        return refusal if refusal is not None else read()

    async def _serve_write(self, request: server.Request, kind: str,
                           write: _Operation) -> typing.Any:
        refusal = await self._admit(request, kind, self._write_limiter)
        if refusal is not None:
            return refusal
        try:
            response = write()
        except errors.ConflictError as error:
            return json_http.make_json_response(request,
                                                {"revision": error.revision},
                                                http.HTTPStatus.CONFLICT)
        except errors.LeaseLostError:
            return json_http.make_json_response(request, {},
                                                http.HTTPStatus.GONE)
        self._watchers.wake_all()
        if self._injector.take("lost_answers"):
            return self._drop_connection(request)
        return response

    async def _admit(self, request: server.Request, kind: str,
                     limiter: rate_limiter.RateLimiter) -> typing.Any:
        """Counts a request and applies delays, outages and the rate limit.

        Returns:
            The response that refuses the request; None if the request is to be
            executed.
        """
        self.counts[kind] += 1
        if self._faults.delay_seconds:
            await task.deferLater(self._reactor, self._faults.delay_seconds)
        if self._faults.hang:
            return await defer.Deferred()
        if self._is_unavailable(kind):
            return self._refuse_as_unavailable(request)
        if not limiter.take(self._now()):
            request.setHeader("retry-after", _RETRY_AFTER_SECONDS)
            return json_http.make_json_response(
                request, {}, http.HTTPStatus.TOO_MANY_REQUESTS)
        return None

    def _is_unavailable(self, kind: str) -> bool:
        """Returns whether requests of a kind are refused with status 503."""
        faults = self._faults
        return faults.outage or (faults.store_outage and kind != _VM_LIST_KIND)

    def _refuse_as_unavailable(self, request: server.Request) -> bytes:
        return json_http.make_json_response(request, {},
                                            http.HTTPStatus.SERVICE_UNAVAILABLE)

    def _drop_connection(self,
                         request: server.Request) -> defer.Deferred[bytes]:
        """Resets the connection without a response."""
        json_http.reset_connection(request)
        return defer.Deferred()

    def _make_value_response(self, request: server.Request,
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
