"""Starts a fleet, applies a configuration, sends a load, prints a table."""

import pathlib
import signal
import sys
import typing

import typer
from twisted.internet import defer
from twisted.internet import task

from mustardwood import runtime
from mustardwood import timing
from mustardwood.demo import caller
from mustardwood.demo import outcome
from mustardwood.demo import table
from mustardwood.demo import workload
from mustardwood.standins import fleet as fleet_package

_LOOPBACK_NETWORK = "127.90.0"
"""First three numbers of the addresses in the example configuration."""

_DOCUMENT_PATH = (pathlib.Path(__file__).parents[2] / "examples" /
                  "configuration.jsonc")

_ZONES = ("zone-a", "zone-b")
"""Availability zones of the VMs, one VM each."""

_SEND_INTERVAL_SECONDS = 0.02
"""Time between sending two requests."""


def main() -> None:
    typer.run(_run)


def _run() -> None:
    """Runs a small fleet under a mixed load and checks every answer."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(runtime.ExitCode.FAILED))
    with fleet_package.Fleet(_LOOPBACK_NETWORK) as fleet:
        try:
            _start_fleet(fleet)
        except fleet_package.FleetError as error:
            typer.echo(f"{error.code}: {error}", err=True)
            raise typer.Exit(runtime.ExitCode.FAILED) from error
        urls = [
            fleet.find_callers_url(number + 1) for number in range(len(_ZONES))
        ]
        outcomes = _send_workload(urls)
    _print_results(outcomes)


def _start_fleet(fleet: fleet_package.Fleet) -> None:
    typer.echo("starting the stand-ins")
    fleet.start_platform()
    fleet.start_engine(1, "ledger-7b", "--checks-fencing")
    fleet.start_engine(2, "ledger-7b")
    fleet.start_engine(3, "scene-13b")
    fleet.start_service(1)
    for number, zone in enumerate(_ZONES, 1):
        typer.echo(f"starting vm-{number} in {zone}")
        fleet.start_vm(number, zone)
    typer.echo(f"applying {_DOCUMENT_PATH.name}")
    typer.echo(fleet.apply(_DOCUMENT_PATH).rstrip())
    for number in range(1, len(_ZONES) + 1):
        fleet.wait_until_ready(f"vm-{number}/entry")


def _send_workload(urls: list[str]) -> tuple[outcome.Outcome, ...]:
    """Sends all requests to the VMs in turn and returns their outcomes."""
    outcomes: list[outcome.Outcome] = []

    async def send_all(reactor: typing.Any) -> None:
        clock = timing.SystemClock()
        callers = [caller.Caller(url, clock) for url in urls]
        pending = []
        for index, request in enumerate(workload.make_workload()):
            sender = callers[index % len(callers)]
            pending.append(defer.ensureDeferred(sender.send(request, reactor)))
            await task.deferLater(reactor, _SEND_INTERVAL_SECONDS)
        for deferred in pending:
            outcomes.append(await deferred)

    _run_reactor(send_all)
    return tuple(outcomes)


def _run_reactor(send_all: typing.Any) -> None:
    try:
        task.react(lambda reactor: defer.ensureDeferred(send_all(reactor)))
    except SystemExit as end:
        if end.code:
            raise


def _print_results(outcomes: tuple[outcome.Outcome, ...]) -> None:
    """Prints the table; exits with 1 if a request got no whole answer."""
    typer.echo(table.format_table(outcomes))
    failed = [
        each for each in outcomes if each.kind != outcome.OutcomeKind.WHOLE
    ]
    for each in failed:
        typer.echo(f"{each.request_class}: {each.kind}: {each.explanation}",
                   err=True)
    if failed:
        raise typer.Exit(runtime.ExitCode.FAILED)


if __name__ == "__main__":
    main()
