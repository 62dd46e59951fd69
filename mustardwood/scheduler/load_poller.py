"""Polls the load reports of endpoints."""

import collections.abc
import datetime
import typing

import msgspec
import treq
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.web import client

from mustardwood import configuration
from mustardwood import runtime
from mustardwood import scheduling

_TIMEOUT_SECONDS = 1.0
_OK = 200
_log = runtime.make_logger("scheduler")

LoadCallback = collections.abc.Callable[[str, scheduling.LoadReport], None]
"""Function that is called with an endpoint's name and its load report."""


class _LoadBody(msgspec.Struct, frozen=True):
    """Response body of an endpoint's ``GET /load``.

    Attributes:
        running: Number of running requests, from all senders.
        queued: Number of requests in the endpoint's own queue.
        cached_tokens: Number of prompt tokens in its prefix cache.
        age_seconds: Time since the figures were measured.
    """

    running: int
    queued: int
    cached_tokens: int = 0
    age_seconds: float = 0.0


class LoadPoller:
    """Reads the load of endpoints, with at most one open request to each."""

    def __init__(self, reactor: typing.Any, on_load: LoadCallback) -> None:
        self._reactor = reactor
        self._on_load = on_load
        self._pool = client.HTTPConnectionPool(reactor)
        self._outstanding: set[str] = set()

    def poll(self, endpoint: configuration.Endpoint) -> None:
        """Starts reading the load of an endpoint unless a request is open."""
        if endpoint.name in self._outstanding:
            return
        self._outstanding.add(endpoint.name)
        defer.ensureDeferred(self._poll(endpoint))

    async def stop(self) -> None:
        """Closes the idle connections."""
        await self._pool.closeCachedConnections()

    async def _poll(self, endpoint: configuration.Endpoint) -> None:
        try:
            self._on_load(endpoint.name, await self._fetch(endpoint))
        except (msgspec.MsgspecError, client.ResponseFailed,
                client.RequestNotSent, internet_error.ConnectError,
                internet_error.ConnectionClosed, defer.CancelledError,
                NotImplementedError, OverflowError, ValueError) as error:
            _log.debug("could not read the load of endpoint %s: %s",
                       endpoint.name, error)
        finally:
            self._outstanding.discard(endpoint.name)

    async def _fetch(self,
                     endpoint: configuration.Endpoint) -> scheduling.LoadReport:
        response = await treq.get(f"{endpoint.url}/load",
                                  timeout=_TIMEOUT_SECONDS,
                                  pool=self._pool,
                                  reactor=self._reactor)
        content = treq.content(response)
        content.addTimeout(_TIMEOUT_SECONDS, self._reactor)
        data = await content
        if response.code != _OK:
            raise ValueError(f"status {response.code}")
        body = msgspec.json.decode(data, type=_LoadBody)
        return scheduling.LoadReport(
            body.running, body.queued, body.cached_tokens,
            datetime.timedelta(seconds=max(0.0, body.age_seconds)))
