"""An HTTP client of the platform that classifies failures."""

import collections
import datetime
import http
import json
import typing

import msgspec
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.web import client as web_client

from mustardwood import errors
from mustardwood import settings as settings_module

_CONNECTION_ERRORS = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
)
"""Failures to connect, after which no byte of the request was sent."""

_LOST_RESPONSE_ERRORS = (
    defer.CancelledError,
    defer.TimeoutError,
    internet_error.ConnectionClosed,
    web_client.RequestTransmissionFailed,
    web_client.ResponseFailed,
    web_client.ResponseNeverReceived,
    web_client.PartialDownloadError,
)
"""Failures of a connection, after which the request may have had effect."""

_DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Delay after status 429 without a valid ``Retry-After`` header."""

_Counts = collections.Counter[tuple[str, str]]


class Request(msgspec.Struct, frozen=True):
    """A request to the platform.

    Attributes:
        kind: Kind of call by which results are counted, such as ``put``.
        method: HTTP method.
        path: Percent-encoded path, relative to the platform's URL.
        parameters: Query parameters.
        body: JSON body, or None.
        writes: Whether the request can change the service's state.
        extra_time: Time that the service may wait before it responds, added to
            the timeout.
    """

    kind: str
    method: str
    path: str
    parameters: dict[str, str] = {}
    body: dict[str, typing.Any] | None = None
    writes: bool = False
    extra_time: datetime.timedelta = datetime.timedelta()


class Response(msgspec.Struct, frozen=True):
    """The platform's response to a request.

    Attributes:
        status: HTTP status.
        body: Decoded JSON body; an empty dictionary for an empty body.
    """

    status: int
    body: dict[str, typing.Any]


class PlatformClient:
    """Sends requests and raises an error that says whether one had an effect.

    Reads share a pool of persistent connections. Each write opens a connection
    of its own and is never sent twice: a persistent connection that the service
    closes while it is idle would make the write uncertain.

    Args:
        url: Base URL of the platform.
        timeout: Timeout of one request.
        reactor: The reactor.

    Attributes:
        counts: Number of requests by kind and result. The result is ``ok`` or
            an error code.
    """

    def __init__(self, url: str, timeout: datetime.timedelta,
                 reactor: typing.Any) -> None:
        self.counts: _Counts = collections.Counter()
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._reactor = reactor
        self._read_client = _make_client(reactor, persistent=True)
        self._write_client = _make_client(reactor, persistent=False)

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any) -> typing.Self:
        """Returns a client of the platform named in the settings."""
        timeout = datetime.timedelta(seconds=settings.platform_timeout_seconds)
        return cls(settings.platform_url, timeout, reactor)

    async def send(self, request: Request) -> Response:
        """Sends a request and counts its result.

        Args:
            request: The request.

        Returns:
            The response, with status 200, 204, 404, 409 or 410.

        Raises:
            UnavailableError: The request had no effect.
            RateLimitedError: The service refused the request because of its
                rate limit; it had no effect.
            UncertainWriteError: The response to a write was lost; it may have
                taken effect.
            KeyValueError: The service refused the request as invalid.
        """
        try:
            response = await self._send(request)
        except errors.KeyValueError as error:
            self.counts[request.kind, error.code] += 1
            raise
        self.counts[request.kind, "ok"] += 1
        return response

    async def _send(self, request: Request) -> Response:
        deferred = defer.ensureDeferred(self._exchange(request))
        seconds = (self._timeout + request.extra_time).total_seconds()
        deferred.addTimeout(seconds, self._reactor)
        try:
            status, retry_after, text = await deferred
        except _CONNECTION_ERRORS as error:
            raise _make_unavailable_error(request, error) from error
        except _LOST_RESPONSE_ERRORS as error:
            raise _make_lost_response_error(request, error) from error
        _raise_for_status(request, status, retry_after)
        return Response(status, _decode_body(request, text))

    async def _exchange(self, request: Request) -> tuple[int, str, bytes]:
        client = self._write_client if request.writes else self._read_client
        headers: dict[bytes | str, bytes | str] = {}
        data = None
        if request.body is not None:
            headers["content-type"] = "application/json"
            data = json.dumps(request.body).encode()
        response = await client.request(request.method,
                                        self._url + request.path,
                                        params=request.parameters,
                                        headers=headers,
                                        data=data)
        text = await response.content()
        retry_after_values = response.headers.getRawHeaders("retry-after", [""])
        return response.code, retry_after_values[0], text


def _make_client(reactor: typing.Any,
                 persistent: bool) -> treq_client.HTTPClient:
    pool = web_client.HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = persistent
    agent: typing.Any = web_client.Agent(reactor, pool=pool)
    return treq_client.HTTPClient(agent)


def _raise_for_status(request: Request, status: int, retry_after: str) -> None:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        raise errors.RateLimitedError(
            f"the platform refused {request.kind} because of its rate limit.",
            "Try again after the requested delay.",
            _parse_retry_after(retry_after))
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        raise _make_unavailable_error(request, "status 503")
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        raise _make_lost_response_error(request, f"status {status}")
    handled_statuses = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.CONFLICT,
                        http.HTTPStatus.GONE)
    if status >= http.HTTPStatus.BAD_REQUEST and status not in handled_statuses:
        raise errors.KeyValueError(
            f"the platform refused {request.kind} with status {status}.",
            "Check the size and format of the request.")


def _parse_retry_after(text: str) -> datetime.timedelta:
    if not text.isdecimal():
        return _DEFAULT_RETRY_AFTER
    return datetime.timedelta(seconds=int(text))


def _decode_body(request: Request, text: bytes) -> dict[str, typing.Any]:
    if not text:
        return {}
    try:
        return msgspec.json.decode(text, type=dict[str, typing.Any])
    except msgspec.DecodeError as error:
        raise _make_lost_response_error(request, error) from error


def _make_unavailable_error(request: Request,
                            cause: object) -> errors.UnavailableError:
    return errors.UnavailableError(
        f"the platform is unavailable for {request.kind}: {cause!r}.",
        "Check platform_url, or try again later.")


def _make_lost_response_error(request: Request,
                              cause: object) -> errors.KeyValueError:
    if not request.writes:
        return _make_unavailable_error(request, cause)
    return errors.UncertainWriteError(
        f"the platform's response to {request.kind} was lost: {cause!r}.",
        "Read the stored value before the next write.")
