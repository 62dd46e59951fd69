"""The ``mustardwood`` command line for operators."""

import datetime
import hashlib
import http
import json
import pathlib
import secrets
import typing
import urllib.parse

import msgspec
import typer

import mustardwood
from mustardwood import configuration
from mustardwood import errors
from mustardwood import fleetstatus
from mustardwood import runtime
from mustardwood import timing
from mustardwood.cli import agent_client
from mustardwood.cli import apply_operation
from mustardwood.cli import command_error
from mustardwood.cli import command_runner
from mustardwood.cli import report_command
from mustardwood.cli import status_text

app = typer.Typer(no_args_is_help=True,
                  add_completion=False,
                  help="Operates a mustardwood fleet.")
app.add_typer(report_command.app, name="report")

_DocumentArgument = typing.Annotated[
    pathlib.Path,
    typer.Argument(help="Configuration document: JSON with comments.")]
_JsonOption = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]


def _print_version(wanted: bool) -> None:
    if wanted:
        typer.echo(mustardwood.__version__)
        raise typer.Exit()


@app.callback()
def set_options(
    version: typing.Annotated[
        bool,
        typer.Option("--version",
                     callback=_print_version,
                     is_eager=True,
                     help="Print the version and exit.")] = False
) -> None:
    """Operates a mustardwood fleet."""
    del version


@app.command()
def validate(file: _DocumentArgument) -> None:
    """Checks a configuration document and lists every problem."""
    _load_document(file)
    typer.echo(f"{file}: the document is valid")


@app.command()
def apply(
    file: _DocumentArgument,
    agent: command_runner.AgentOption = None,
    token_file: command_runner.TokenOption = None,
    authority: command_runner.AuthorityOption = None,
    base: typing.Annotated[
        int | None,
        typer.Option(
            help="Version that the document was written against.")] = None,
    wait: typing.Annotated[
        bool,
        typer.Option("--wait", help="Wait until it is in force on every VM."
                    )] = False,
    timeout: typing.Annotated[
        float, typer.Option(help="Timeout of --wait, in seconds.")] = 30.0,
) -> None:
    """Applies a configuration document as a whole."""
    text = configuration.dump_document(_load_document(file))

    async def run(client: agent_client.AgentClient,
                  reactor: typing.Any) -> None:
        operation = apply_operation.ApplyOperation(client, reactor,
                                                   timing.SystemClock())
        version = await operation.apply(text, base)
        if wait:
            await operation.wait_until_in_force(
                version, datetime.timedelta(seconds=timeout))
        apply_operation.print_applied_version(version, wait)

    command_runner.run_command(agent, token_file, authority, run)


@app.command()
def show(
    agent: command_runner.AgentOption = None,
    token_file: command_runner.TokenOption = None,
    authority: command_runner.AuthorityOption = None,
) -> None:
    """Prints the configuration in force."""

    async def run(client: agent_client.AgentClient, _: typing.Any) -> None:
        stored = await _fetch_json(client, "/v1/configuration")
        document = json.loads(stored["text"])
        typer.echo(f"// Version {stored['version']}, applied by "
                   f"{stored['author']} at {stored['applied_at']}.")
        typer.echo(json.dumps(document, indent=2))

    command_runner.run_command(agent, token_file, authority, run)


@app.command()
def status(
    agent: command_runner.AgentOption = None,
    token_file: command_runner.TokenOption = None,
    authority: command_runner.AuthorityOption = None,
    as_json: _JsonOption = False,
) -> None:
    """Shows VMs, cells with their owners, endpoints and versions."""

    async def run(client: agent_client.AgentClient, _: typing.Any) -> None:
        body = await _fetch_json(client, "/v1/status")
        if as_json:
            typer.echo(json.dumps(body, indent=2))
            return
        parsed = msgspec.convert(body, fleetstatus.StatusBody)
        typer.echo(status_text.format_status(parsed))

    command_runner.run_command(agent, token_file, authority, run)


@app.command()
def explain(
    request_id: typing.Annotated[str,
                                 typer.Argument(
                                     help="Id from the x-request-id header.")],
    agent: command_runner.AgentOption = None,
    token_file: command_runner.TokenOption = None,
    authority: command_runner.AuthorityOption = None,
    as_json: _JsonOption = False,
) -> None:
    """Explains why a request waited, went to an endpoint, or was refused."""

    async def run(client: agent_client.AgentClient, _: typing.Any) -> None:
        quoted_id = urllib.parse.quote(request_id, safe="")
        body = await _fetch_json(client, f"/v1/explain/{quoted_id}")
        typer.echo(
            json.dumps(body, indent=2) if as_json else status_text.
            format_explanation(body))
        if not body["events"]:
            raise command_error.CommandError(
                "no VM has events of this request.",
                "Check the id; each VM keeps only its last 2000 requests, and "
                "none from before its start.")

    command_runner.run_command(agent, token_file, authority, run)


@app.command("hash-key")
def hash_key(
    new: typing.Annotated[
        bool, typer.Option("--new", help="Generate a random key.")] = False
) -> None:
    """Prints the SHA-256 digest of an API key or operators' token.

    The digest goes into the configuration document or the settings file.
    """
    key = (secrets.token_urlsafe(32)
           if new else typer.prompt("key", hide_input=True, err=True))
    if new:
        typer.echo(f"key: {key}")
    typer.echo(f"sha256: {hashlib.sha256(key.encode()).hexdigest()}")


async def _fetch_json(client: agent_client.AgentClient,
                      path: str) -> typing.Any:
    response = await client.get(path)
    if response.status == http.HTTPStatus.OK:
        return response.parse()
    if response.status == http.HTTPStatus.UNAUTHORIZED:
        raise command_error.CommandError(
            "the operators' token is missing or wrong.",
            "Give it with --token-file.", runtime.ExitCode.USAGE)
    if response.status == http.HTTPStatus.NOT_FOUND:
        raise command_error.CommandError(
            "the agent has nothing under that name.",
            "Check the name; if the fleet has no configuration yet, apply one "
            "first.")
    raise command_error.CommandError(
        f"the agent answered {int(response.status)}.", "Check the agent's log.")


def _load_document(path: pathlib.Path) -> configuration.Document:
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        typer.echo(
            f"{path}: can't be read: {error}. Give the path of a UTF-8 file.",
            err=True)
        raise typer.Exit(runtime.ExitCode.USAGE) from error
    problems = configuration.list_document_problems(text)
    for problem in problems:
        _print_problem(path, problem)
    if problems:
        raise typer.Exit(runtime.ExitCode.FAILED)
    return configuration.load_document(text)


def _print_problem(path: pathlib.Path,
                   problem: errors.ConfigurationError) -> None:
    typer.echo(f"{path}:{problem.line or 1}: {problem}", err=True)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
