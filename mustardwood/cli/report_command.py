"""The ``mustardwood report`` commands."""

import http
import json
import pathlib
import typing

import msgspec
import typer

from mustardwood import reports
from mustardwood.cli import agent_client
from mustardwood.cli import agent_response
from mustardwood.cli import burn_text
from mustardwood.cli import command_error
from mustardwood.cli import command_runner

app = typer.Typer(no_args_is_help=True, help="Reports on the fleet.")


@app.callback()
def choose_report() -> None:
    """Reports on the fleet."""


@app.command()
def burn(
    agent: command_runner.AgentOption = None,
    token_file: command_runner.TokenOption = None,
    authority: command_runner.AuthorityOption = None,
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")] = False,
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option(
            help="Write a self-contained HTML page to this file.")] = None,
) -> None:
    """Shows how fast each request class uses up its error budget."""

    async def run(client: agent_client.AgentClient, _: typing.Any) -> None:
        response = await client.get("/v1/burn")
        report = _decode_report(response)
        if html is not None:
            _write_page(html, report)
        if as_json:
            typer.echo(json.dumps(response.parse(), indent=2))
        elif html is None:
            typer.echo(burn_text.format_report(report))

    command_runner.run_command(agent, token_file, authority, run)


def _decode_report(
        response: agent_response.AgentResponse) -> reports.BurnReport:
    if response.status != http.HTTPStatus.OK:
        body = response.parse()
        raise command_error.CommandError(
            f"the agent answered {response.status}: {body.get('code', '')}",
            body.get("message") or
            "Check the operators' token and the agent's log.")
    try:
        return msgspec.json.decode(response.content, type=reports.BurnReport)
    except msgspec.MsgspecError as error:
        raise command_error.CommandError(
            f"the agent's report can't be decoded: {error}",
            "Use the version of the command line that the fleet runs."
        ) from error


def _write_page(path: pathlib.Path, report: reports.BurnReport) -> None:
    try:
        from mustardwood.cli import burn_page
    except ImportError as error:
        raise command_error.CommandError(
            f"the HTML page needs the plotting library: {error}.",
            "Install it with `pip install mustardwood[report]`, or use --json."
        ) from error
    path.write_text(burn_page.format_page(report), encoding="utf-8")
    typer.echo(f"wrote {path}", err=True)
