"""Applies a configuration document on behalf of an operator."""

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

_MAX_ATTEMPTS = 5
_RETRY_DELAY_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.5


class ApplyOperation:
    """Applies one document, at most once.

    All attempts carry the same random ``apply_id``, by which an agent
    recognises a repeated request.
    """

    def __init__(self, client: agent_client.AgentClient, reactor: typing.Any,
                 clock: timing.Clock) -> None:
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._apply_id = uuid.uuid4().hex

    async def apply(self, text: str, base_version: int | None) -> int:
        """Applies the document and retries after a 503 or 504 response.

        Args:
            text: The document as compact JSON.
            base_version: Version that the document was written against; None
                for the version in force now.

        Returns:
            The version number that the document was given.

        Raises:
            CommandError: The document was rejected, another operator applied
                a version first, or the outcome is still unknown after the
                last attempt.
            UnreachableError: No agent answered.
        """
        if base_version is None:
            base_version = await self._read_version()
        body = {
            "apply_id": self._apply_id,
            "expected_version": base_version,
            "text": text,
            "author": getpass.getuser(),
        }
        for _ in range(_MAX_ATTEMPTS):
            response = await self._client.put("/v1/configuration", body)
            if response.status == http.HTTPStatus.OK:
                return int(response.parse()["version"])
            if response.status not in (http.HTTPStatus.GATEWAY_TIMEOUT,
                                       http.HTTPStatus.SERVICE_UNAVAILABLE):
                raise _make_rejection_error(response, base_version)
            await task.deferLater(self._reactor, _RETRY_DELAY_SECONDS)
        raise _make_failure_error(response)

    async def wait_until_in_force(self, version: int,
                                  timeout: datetime.timedelta) -> None:
        """Waits until a version or a later one is in force on every VM.

        Args:
            version: Version number of the configuration.
            timeout: How long to wait at most.

        Raises:
            CommandError: The timeout has passed; the message names the VMs
                that run an older version or did not answer.
            UnreachableError: No agent answered.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            path = f"/v1/convergence?version={version}"
            convergence = (await self._client.get(path)).parse()
            lagging = [each["vm"] for each in convergence.get("lagging", [])]
            unanswered = convergence.get("unanswered", [])
            if convergence.get("in_force") and not lagging and not unanswered:
                return
            if self._clock.monotonic() >= deadline:
                raise command_error.CommandError(
                    f"version {version} is accepted but not in force on all "
                    f"VMs: lagging {lagging}, unanswered {unanswered}.",
                    "It will reach them without a further apply; check with "
                    "`mustardwood status`.", runtime.ExitCode.LAGGING)
            await task.deferLater(self._reactor, _POLL_INTERVAL_SECONDS)

    async def _read_version(self) -> int:
        response = await self._client.get("/v1/configuration")
        if response.status == http.HTTPStatus.NOT_FOUND:
            return 0
        if response.status != http.HTTPStatus.OK:
            raise _make_failure_error(response)
        return int(response.parse()["version"])


def _make_rejection_error(response: agent_response.AgentResponse,
                          base_version: int) -> command_error.CommandError:
    body = response.parse()
    if response.status == http.HTTPStatus.CONFLICT:
        return command_error.CommandError(
            f"another operator applied a document first: version "
            f"{body.get('version')} by {body.get('author') or 'unknown'} at "
            f"{body.get('applied_at')} "
            f"replaced version {base_version}; yours was not applied.",
            "Fetch it with `mustardwood show`, merge your change, and apply "
            "again.", runtime.ExitCode.CONFLICT)
    return _make_failure_error(response)


def _make_failure_error(
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


def print_applied_version(version: int, has_waited: bool) -> None:
    """Prints the version of an applied document.

    Args:
        version: Version number that the document was given.
        has_waited: Whether the version is known to be in force on every VM;
            otherwise it is only accepted.
    """
    outcome = "in force on every VM" if has_waited else "accepted"
    typer.echo(f"version {version} is {outcome}")
