"""The application of an operator's configuration."""

import datetime
import getpass
import http
import typing
import uuid

import typer
from twisted.internet import task

from mustardwood import runtime
from mustardwood import timing
from mustardwood.cli import agent_client
from mustardwood.cli import agent_response
from mustardwood.cli import command_error

_RETRIES = 5
_RETRY_SECONDS = 1.0
_POLL_SECONDS = 0.5


class ApplyOperation:
    """One apply of one document; its id makes every repeat idempotent."""

    def __init__(self, client: agent_client.AgentClient, reactor: typing.Any,
                 clock: timing.Clock) -> None:
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._apply_id = uuid.uuid4().hex

    async def apply(self, text: str, base: int | None) -> int:
        """Applies a document.

        Args:
            text: The document as compact JSON.
            base: Version that the document was written against; None for the
                version in force now.

        Returns:
            The version that the document got.

        Raises:
            CommandError: The document was refused, another operator won, or
                the outcome stays unknown.
            UnreachableError: No agent answered.
        """
        if base is None:
            base = await self._read_version()
        body = {
            "apply_id": self._apply_id,
            "expected_version": base,
            "text": text,
            "author": getpass.getuser(),
        }
        for _ in range(_RETRIES):
            response = await self._client.put("/v1/configuration", body)
            if response.status == http.HTTPStatus.OK:
                return int(response.parse()["version"])
            if response.status not in (http.HTTPStatus.GATEWAY_TIMEOUT,
                                       http.HTTPStatus.SERVICE_UNAVAILABLE):
                raise _explain_refusal(response, base)
            await task.deferLater(self._reactor, _RETRY_SECONDS)
        raise _explain_failure(response)

    async def wait(self, version: int, bound: datetime.timedelta) -> None:
        """Waits until a version or a later one is in force on every VM.

        Args:
            version: The version.
            bound: How long to wait.

        Raises:
            CommandError: Some VM still lags; the message names it.
            UnreachableError: No agent answered.
        """
        end = self._clock.monotonic() + bound
        while True:
            path = f"/v1/convergence?version={version}"
            state = (await self._client.get(path)).parse()
            lagging = [each["vm"] for each in state.get("lagging", [])]
            unanswered = state.get("unanswered", [])
            if state.get("in_force") and not lagging and not unanswered:
                return
            if self._clock.monotonic() >= end:
                raise command_error.CommandError(
                    f"version {version} is accepted but not in force on all "
                    f"VMs: lagging {lagging}, unanswered {unanswered}.",
                    "It will reach them by itself; look at `mustardwood "
                    "status`.", runtime.ExitCode.LAGGING)
            await task.deferLater(self._reactor, _POLL_SECONDS)

    async def _read_version(self) -> int:
        response = await self._client.get("/v1/configuration")
        if response.status == http.HTTPStatus.NOT_FOUND:
            return 0
        if response.status != http.HTTPStatus.OK:
            raise _explain_failure(response)
        return int(response.parse()["version"])


def _explain_refusal(response: agent_response.AgentResponse,
                     base: int) -> command_error.CommandError:
    body = response.parse()
    if response.status == http.HTTPStatus.CONFLICT:
        return command_error.CommandError(
            f"another operator was first: version {body.get('version')} by "
            f"{body.get('author') or 'unknown'} at {body.get('applied_at')} "
            f"replaced version {base}; nothing of yours was applied.",
            "Fetch it with `mustardwood show`, merge your change, and apply "
            "again.", runtime.ExitCode.CONFLICT)
    return _explain_failure(response)


def _explain_failure(
        response: agent_response.AgentResponse) -> command_error.CommandError:
    body = response.parse()
    message = body.get("message") or f"the agent answered {response.status}."
    if response.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        return command_error.CommandError(
            f"nothing was applied: {message}",
            "The platform's key-value service is down; the configuration in "
            "force stays. Apply again later.")
    if response.status == http.HTTPStatus.GATEWAY_TIMEOUT:
        return command_error.CommandError(
            f"it is not known whether the document was applied: {message}",
            "Compare `mustardwood show` with your file before you apply again.")
    if response.status == http.HTTPStatus.UNAUTHORIZED:
        return command_error.CommandError(
            "the operators' token is missing or wrong.",
            "Give it with --token-file.", runtime.ExitCode.USAGE)
    return command_error.CommandError(message, body.get("remedy", ""))


def print_version(version: int, waited: bool) -> None:
    """Prints what an apply achieved."""
    place = "in force on every VM" if waited else "accepted"
    typer.echo(f"version {version} is {place}")
