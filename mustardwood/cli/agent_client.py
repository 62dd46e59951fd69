"""Client of the agents' operators' HTTP."""

import collections.abc
import http
import json
import pathlib
import typing

from OpenSSL import crypto
import treq
from twisted.internet import defer
from twisted.internet import error as internet_error
from twisted.internet import ssl
from twisted.web import client as web_client
from twisted.web import http_headers

from mustardwood import runtime
from mustardwood.cli import agent_response
from mustardwood.cli import command_error
from mustardwood.cli import unreachable_error

_TIMEOUT_SECONDS = 15.0
_FAILURES = (defer.CancelledError, defer.TimeoutError,
             internet_error.ConnectError, internet_error.ConnectionClosed,
             internet_error.DNSLookupError, web_client.ResponseFailed,
             web_client.ResponseNeverReceived,
             web_client.RequestTransmissionFailed)


class AgentClient:
    """Calls the first agent of a list that can be reached.

    Args:
        reactor: The reactor.
        urls: URLs of the agents' operators' HTTP.
        token: Operators' token; empty for none.
        authority: File with the certificate that the agents' certificates are
            signed by; None for the certificates that this machine trusts.

    Raises:
        CommandError: The authority's file can't be used.
    """

    def __init__(self,
                 reactor: typing.Any,
                 urls: collections.abc.Sequence[str],
                 token: str,
                 authority: pathlib.Path | None = None) -> None:
        self._agent = _make_web_agent(reactor, authority)
        self._reactor = reactor
        self._urls = list(urls)
        self._headers = http_headers.Headers()
        if token:
            self._headers.addRawHeader("authorization", f"Bearer {token}")

    async def get(self, path: str) -> agent_response.AgentResponse:
        """Reads from an agent.

        Args:
            path: Path and query, as in ``/v1/status``.

        Returns:
            The reply.

        Raises:
            UnreachableError: No agent answered.
        """
        return await self._call("GET", path, None)

    async def put(self, path: str,
                  body: dict[str, typing.Any]) -> agent_response.AgentResponse:
        """Writes through an agent; the call must be idempotent.

        Args:
            path: Path.
            body: Body, sent as JSON.

        Returns:
            The reply.

        Raises:
            UnreachableError: No agent answered.
        """
        return await self._call("PUT", path, body)

    async def _call(
            self, method: str, path: str,
            body: dict[str, typing.Any] | None) -> agent_response.AgentResponse:
        causes: list[str] = []
        for url in self._urls:
            try:
                return await self._call_one(method, url, path, body)
            except _FAILURES as error:
                causes.append(f"{url}: {_describe(error)}")
        raise unreachable_error.UnreachableError(
            f"no agent answered ({'; '.join(causes)}).",
            "Name a running agent with --agent; several may be given.")

    async def _call_one(
            self, method: str, url: str, path: str,
            body: dict[str, typing.Any] | None) -> agent_response.AgentResponse:
        data = None if body is None else json.dumps(body).encode()
        response = await treq.request(method,
                                      url.rstrip("/") + path,
                                      data=data,
                                      headers=self._headers,
                                      timeout=_TIMEOUT_SECONDS,
                                      agent=self._agent,
                                      reactor=self._reactor)
        content = await treq.content(response)
        return agent_response.AgentResponse(http.HTTPStatus(response.code),
                                            content)


def _make_web_agent(reactor: typing.Any,
                    authority: pathlib.Path | None) -> typing.Any:
    pool = web_client.HTTPConnectionPool(reactor, persistent=False)
    if authority is None:
        return web_client.Agent(reactor, pool=pool)
    try:
        root = ssl.Certificate.loadPEM(authority.read_bytes())
    except (OSError, ValueError, crypto.Error) as error:
        raise command_error.CommandError(
            f"the authority's file {authority} can't be used: {error}.",
            "Name a PEM file with its certificate.",
            runtime.ExitCode.USAGE) from error
    policy = web_client.BrowserLikePolicyForHTTPS(
        ssl.trustRootFromCertificates([root]))
    return web_client.Agent(reactor, policy, pool=pool)


def _describe(error: BaseException) -> str:
    return str(error) or type(error).__name__
