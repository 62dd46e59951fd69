"""Running of a command's coroutine."""

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

Command = collections.abc.Callable[[agent_client.AgentClient, typing.Any],
                                   collections.abc.Coroutine]
"""Takes a client and the reactor; returns nothing or raises."""

DEFAULT_AGENT = "http://127.0.0.1:9101"
"""Agent that is asked when none is named."""

AgentOption = typing.Annotated[
    list[str] | None,
    typer.Option("--agent",
                 envvar="MUSTARDWOOD_AGENT",
                 help="URL of an agent's operators' HTTP; may be repeated.")]
TokenOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--token-file",
                 envvar="MUSTARDWOOD_TOKEN_FILE",
                 help="File with the operators' token.")]
AuthorityOption = typing.Annotated[
    pathlib.Path | None,
    typer.Option("--authority",
                 envvar="MUSTARDWOOD_AUTHORITY",
                 help="Certificate that the agents' certificates are signed "
                 "by, for https URLs.")]


def run_command(agents: list[str] | None, token_file: pathlib.Path | None,
                authority: pathlib.Path | None, command: Command) -> None:
    """Runs a command against the fleet and ends with its exit code.

    Args:
        agents: URLs of agents; None for the default one.
        token_file: File with the operators' token; None for no token.
        authority: File with the certificate of the agents' authority.
        command: What to run.

    Raises:
        SystemExit: Always, with the exit code.
    """
    token = read_token(token_file)

    async def run(reactor: typing.Any) -> None:
        try:
            client = agent_client.AgentClient(reactor, agents or
                                              [DEFAULT_AGENT], token, authority)
            await command(client, reactor)
        except errors.MustardwoodError as error:
            typer.echo(f"{error.code}: {error}", err=True)
            sys.exit(_find_exit_code(error))

    task.react(lambda reactor: defer.ensureDeferred(run(reactor)))


def read_token(path: pathlib.Path | None) -> str:
    """Returns the token in a file; the empty string for no file.

    Raises:
        Exit: The file can't be read.
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


def _find_exit_code(error: errors.MustardwoodError) -> int:
    if isinstance(error, command_error.CommandError):
        return int(error.exit_code)
    if isinstance(error, unreachable_error.UnreachableError):
        return int(runtime.ExitCode.UNREACHABLE)
    return int(runtime.ExitCode.FAILED)
