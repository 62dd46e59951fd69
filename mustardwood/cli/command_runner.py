"""Runs the coroutine of a command and exits with its exit code."""

import collections.abc
import pathlib
import sys
import typing

import typer
from twisted.internet import defer
from twisted.internet import task

from mustardwood import errors
from mustardwood import runtime
from mustardwood.cli import agent_client
from mustardwood.cli import command_error
from mustardwood.cli import unreachable_error

CommandFunction = collections.abc.Callable[
    [agent_client.AgentClient, typing.Any], collections.abc.Coroutine]
"""Coroutine function of a command; takes an agent client and the reactor."""

DEFAULT_AGENT_URL = "http://127.0.0.1:9101"
"""URL of the agent that is used if the operator names none."""

AgentOption = typing.Annotated[
    list[str] | None,
    typer.Option("--agent",
                 envvar="MUSTARDWOOD_AGENT",
                 help="URL of an agent's HTTP interface for operators; may be "
                 "repeated.")]
TokenOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--token-file",
                 envvar="MUSTARDWOOD_TOKEN_FILE",
                 help="File with the operators' token.")]
AuthorityOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--authority",
                 envvar="MUSTARDWOOD_AUTHORITY",
                 help="Certificate of the authority that signed the agents' "
                 "certificates, for https URLs.")]


def run_command(agents: list[str] | None, token_file: pathlib.Path | None,
                authority: pathlib.Path | None,
                command: CommandFunction) -> None:
    """Runs a command against the fleet and exits.

    Args:
        agents: URLs of agents; None for `DEFAULT_AGENT_URL`.
        token_file: File with the operators' token; None for no token.
        authority: PEM file with the certificate of the authority that signed
            the agents' certificates; None to trust the authorities that this
            machine trusts.
        command: Coroutine function of the command.

    Raises:
        SystemExit: Always, with the exit code of the command.
    """
    token = read_token_file(token_file)

    async def run(reactor: typing.Any) -> None:
        try:
            client = agent_client.AgentClient(reactor, agents or
                                              [DEFAULT_AGENT_URL], token,
                                              authority)
            await command(client, reactor)
        except errors.MustardwoodError as error:
            typer.echo(f"{error.code}: {error}", err=True)
            sys.exit(_get_exit_code(error))

    task.react(lambda reactor: defer.ensureDeferred(run(reactor)))


def read_token_file(path: pathlib.Path | None) -> str:
    """Returns the token in a file, or an empty string if `path` is None.

    Raises:
        typer.Exit: The file can't be read.
    """
    if path is None:
        return ""
    try:
        return path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(
            f"bad_settings: token file {path} can't be read: {error}. "
            "Give the path of a text file with the token.",
            err=True)
        raise typer.Exit(runtime.ExitCode.USAGE) from error


def _get_exit_code(error: errors.MustardwoodError) -> int:
    if isinstance(error, command_error.CommandError):
        return int(error.exit_code)
    if isinstance(error, unreachable_error.UnreachableError):
        return int(runtime.ExitCode.UNREACHABLE)
    return int(runtime.ExitCode.FAILED)
