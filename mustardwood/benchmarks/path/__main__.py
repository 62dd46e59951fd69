"""Command line of the streaming path benchmark."""

import os
import pathlib
import signal
import sys
import typing

import msgspec
import typer
from twisted.internet import defer
from twisted.internet import task

from mustardwood import configuration
from mustardwood import runtime
from mustardwood.benchmarks.path import fleet_document
from mustardwood.benchmarks.path import level_result
from mustardwood.benchmarks.path import measurement
from mustardwood.benchmarks.path import process_usage
from mustardwood.benchmarks.path import table
from mustardwood.standins import fleet as fleet_package

_NETWORK = "127.93.0"
_LEVELS = (1, 8, 32)
_ENGINES = 4
_ENGINE_OPTIONS = ("--base-step-seconds", "0.01", "--stream-step-seconds",
                   "0.0002", "--prefill-token-seconds", "0", "--load-lag-"
                   "seconds", "0.5")
_PARTS = ("entry", "scheduler", "agent")


def measure_path(
    seed: typing.Annotated[int, typer.Option(help="Seed of arrivals.")] = 1,
    level: typing.Annotated[
        list[int] | None,
        typer.Option(help="Concurrent streams; 1, 8, 32 by default.")] = None,
    output: typing.Annotated[pathlib.Path | None,
                             typer.Option(help="File for the JSON.")] = None,
) -> None:
    """Measures the latency and cost that real router processes add."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(runtime.ExitCode.FAILED))
    load_before = os.getloadavg()[0]
    with fleet_package.Fleet(_NETWORK) as fleet:
        engines = _start_fleet(fleet)
        levels = _measure_levels(fleet, engines, tuple(level or _LEVELS), seed)
        memory = {
            part:
                process_usage.read_rss_bytes(fleet.children[f"vm-1/{part}"].pid)
                / 1e6 for part in _PARTS
        }
    load = (load_before, os.getloadavg()[0])
    result = level_result.PathResult(tuple(levels), memory, load,
                                     os.cpu_count() or 0)
    typer.echo(table.format_result(result))
    if output is not None:
        output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def _start_fleet(fleet: fleet_package.Fleet) -> list[str]:
    """Starts one VM and the engines; returns the URLs of the engines."""
    fleet.start_platform()
    urls = [
        fleet.start_engine(number, fleet_document.MODEL, *_ENGINE_OPTIONS).url
        for number in range(1, _ENGINES + 1)
    ]
    fleet.start_vm(1, "zone-a", endpoints_tls=False)
    path = fleet.folder / "configuration.json"
    document = fleet_document.make_document(urls)
    path.write_text(configuration.dump_document(document), encoding="utf-8")
    typer.echo(fleet.apply(path).rstrip())
    fleet.wait_until_ready("vm-1/entry")
    return urls


def _measure_levels(fleet: fleet_package.Fleet, engines: list[str],
                    levels: tuple[int, ...],
                    seed: int) -> list[level_result.LevelResult]:
    results: list[level_result.LevelResult] = []

    async def measure_all(reactor: typing.Any) -> None:
        level_measurement = measurement.Measurement(
            reactor, fleet.find_callers_url(1), engines,
            fleet.children["vm-1/entry"].pid, fleet_document.MODEL, seed)
        await level_measurement.warm_up()
        for streams in levels:
            results.append(await level_measurement.measure(streams))

    try:
        task.react(lambda reactor: defer.ensureDeferred(measure_all(reactor)))
    except SystemExit as end:
        if end.code:
            raise
    return results


if __name__ == "__main__":
    typer.run(measure_path)
