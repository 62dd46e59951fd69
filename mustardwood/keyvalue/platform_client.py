"""HTTP calls to the platform, with their failures told apart."""

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

_NOT_SENT = (
    internet_error.ConnectError,
    internet_error.ConnectingCancelledError,
    internet_error.DNSLookupError,
)
"""Failures to connect; no byte of the call was sent."""

_NO_ANSWER = (
    defer.CancelledError,
    defer.TimeoutError,
    internet_error.ConnectionClosed,
    web_client.RequestTransmissionFailed,
    web_client.ResponseFailed,
    web_client.ResponseNeverReceived,
    web_client.PartialDownloadError,
)
"""Failures after the connection was made; the call may have been read."""

_DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=1)
"""Wait after status 429 without a usable ``Retry-After``."""

_Counts = collections.Counter[tuple[str, str]]


class Request(msgspec.Struct, frozen=True):
    """One call to the platform.

    Attributes:
        kind: Name for counting, as in ``put``.
        method: HTTP method.
        path: Percent-encoded path below the platform's URL.
        parameters: Query parameters.
        body: JSON body; None for none.
        writes: Whether it can change the service's state.
        extra_time: Time that the service may wait before it answers.
    """

    kind: str
    method: str
    path: str
    parameters: dict[str, str] = {}
    body: dict[str, typing.Any] | None = None
    writes: bool = False
    extra_time: datetime.timedelta = datetime.timedelta()


class Response(msgspec.Struct, frozen=True):
    """The platform's answer to a call.

    Attributes:
        status: HTTP status.
        body: Decoded JSON body; an empty object for an empty one.
    """

    status: int
    body: dict[str, typing.Any]


class PlatformClient:
    """Makes calls and raises typed errors for those without effect or answer.

    Reads share kept connections. Each write has a connection of its own, so
    that an idle connection which the service closes never makes a write
    uncertain, and no write is sent twice.

    Args:
        url: Base URL of the platform.
        timeout: Bound on one call.
        reactor: The reactor.

    Attributes:
        counts: Calls by kind and result; the result is ``ok`` or an error
            code.
    """

    def __init__(self, url: str, timeout: datetime.timedelta,
                 reactor: typing.Any) -> None:
        self.counts: _Counts = collections.Counter()
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._reactor = reactor
        self._reader = _make_client(reactor, persistent=True)
        self._writer = _make_client(reactor, persistent=False)

    @classmethod
    def from_settings(cls, settings: settings_module.Settings,
                      reactor: typing.Any) -> typing.Self:
        """Returns the calls for the platform that the settings name."""
        timeout = datetime.timedelta(seconds=settings.platform_timeout_seconds)
        return cls(settings.platform_url, timeout, reactor)

    async def send(self, call: Request) -> Response:
        """Makes a call.

        Args:
            call: The call.

        Returns:
            The answer, with status 200, 204, 404, 409 or 410.

        Raises:
            UnavailableError: The call had no effect.
            RateLimitedError: The service refused it; it had no effect.
            UncertainWriteError: The call writes, and its answer was lost.
            KeyValueError: The service refused the call as wrong.
        """
        try:
            answer = await self._send(call)
        except errors.KeyValueError as error:
            self.counts[call.kind, error.code] += 1
            raise
        self.counts[call.kind, "ok"] += 1
        return answer

    async def _send(self, call: Request) -> Response:
        deferred = defer.ensureDeferred(self._exchange(call))
        seconds = (self._timeout + call.extra_time).total_seconds()
        deferred.addTimeout(seconds, self._reactor)
        try:
            status, retry_after, text = await deferred
        except _NOT_SENT as error:
            raise _make_unavailable(call, error) from error
        except _NO_ANSWER as error:
            raise _make_unanswered(call, error) from error
        _check_status(call, status, retry_after)
        return Response(status, _decode_body(call, text))

    async def _exchange(self, call: Request) -> tuple[int, str, bytes]:
        client = self._writer if call.writes else self._reader
        headers: dict[bytes | str, bytes | str] = {}
        data = None
        if call.body is not None:
            headers["content-type"] = "application/json"
            data = json.dumps(call.body).encode()
        response = await client.request(call.method,
                                        self._url + call.path,
                                        params=call.parameters,
                                        headers=headers,
                                        data=data)
        text = await response.content()
        waits = response.headers.getRawHeaders("retry-after", [""])
        return response.code, waits[0], text


def _make_client(reactor: typing.Any,
                 persistent: bool) -> treq_client.HTTPClient:
    pool = web_client.HTTPConnectionPool(reactor, persistent=persistent)
    pool.retryAutomatically = persistent
    agent: typing.Any = web_client.Agent(reactor, pool=pool)
    return treq_client.HTTPClient(agent)


def _check_status(call: Request, status: int, retry_after: str) -> None:
    if status == http.HTTPStatus.TOO_MANY_REQUESTS:
        raise errors.RateLimitedError(
            f"the platform refused {call.kind} over its rate limit.",
            "Call again after the time that it named.",
            _read_retry_after(retry_after))
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        raise _make_unavailable(call, "status 503")
    if status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        raise _make_unanswered(call, f"status {status}")
    known = (http.HTTPStatus.NOT_FOUND, http.HTTPStatus.CONFLICT,
             http.HTTPStatus.GONE)
    if status >= http.HTTPStatus.BAD_REQUEST and status not in known:
        raise errors.KeyValueError(
            f"the platform refused {call.kind} with status {status}.",
            "Check the size and form of what was sent.")


def _read_retry_after(text: str) -> datetime.timedelta:
    if not text.isdecimal():
        return _DEFAULT_RETRY_AFTER
    return datetime.timedelta(seconds=int(text))


def _decode_body(call: Request, text: bytes) -> dict[str, typing.Any]:
    if not text:
        return {}
    try:
        return msgspec.json.decode(text, type=dict[str, typing.Any])
    except msgspec.DecodeError as error:
        raise _make_unanswered(call, error) from error


def _make_unavailable(call: Request, cause: object) -> errors.UnavailableError:
    return errors.UnavailableError(
        f"the platform is unavailable for {call.kind}: {cause!r}.",
        "Check platform_url, or try again later.")


def _make_unanswered(call: Request, cause: object) -> errors.KeyValueError:
    if not call.writes:
        return _make_unavailable(call, cause)
    return errors.UncertainWriteError(
        f"the platform's answer to {call.kind} was lost: {cause!r}.",
        "Read back what is there before the next write.")
