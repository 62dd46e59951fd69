"""Client of the HTTP interface that agents have for operators."""

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
_CONNECTION_ERRORS = (defer.CancelledError, defer.TimeoutError,
                      internet_error.ConnectError,
                      internet_error.ConnectionClosed,
                      internet_error.DNSLookupError, web_client.ResponseFailed,
                      web_client.ResponseNeverReceived,
                      web_client.RequestTransmissionFailed)


class AgentClient:
    """Sends requests to the first agent of a list that can be reached.

    Args:
        reactor: The reactor.
        urls: Base URLs of the agents' HTTP interfaces for operators, in the
            order in which they are tried.
        token: Operators' token, sent as a bearer token; empty to send none.
        authority: PEM file with the certificate of the authority that signed
            the agents' certificates; None to trust the authorities that
            this machine trusts.

    Raises:
        CommandError: `authority` can't be read or holds no certificate.
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
        """Sends a GET request.

        Args:
            path: Path and query, for example ``/v1/status``.

        Returns:
            The response of the first agent that answered.

        Raises:
            UnreachableError: No agent answered.
        """
        return await self._send_to_first_reachable("GET", path, None)

    async def put(self, path: str,
                  body: dict[str, typing.Any]) -> agent_response.AgentResponse:
        """Sends a PUT request, which must be idempotent.

        If the connection to one agent fails, the request is sent again to the
        next agent, although the first one may have executed it.

        Args:
            path: Path.
            body: Request body, sent as JSON.

        Returns:
            The response of the first agent that answered.

        Raises:
            UnreachableError: No agent answered.
        """
        return await self._send_to_first_reachable("PUT", path, body)

    async def _send_to_first_reachable(
            self, method: str, path: str,
            body: dict[str, typing.Any] | None) -> agent_response.AgentResponse:
        failures: list[str] = []
        for url in self._urls:
            try:
                return await self._send(method, url, path, body)
            except _CONNECTION_ERRORS as error:
                failures.append(f"{url}: {_describe_error(error)}")
        raise unreachable_error.UnreachableError(
            f"no agent answered ({'; '.join(failures)}).",
            "Name a running agent with --agent; the option may be repeated.")

    async def _send(
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
            f"the certificate file {authority} can't be used: {error}.",
            "Name a PEM file with the authority's certificate.",
            runtime.ExitCode.USAGE) from error
    policy = web_client.BrowserLikePolicyForHTTPS(
        ssl.trustRootFromCertificates([root]))
    return web_client.Agent(reactor, policy, pool=pool)


def _describe_error(error: BaseException) -> str:
    return str(error) or type(error).__name__
