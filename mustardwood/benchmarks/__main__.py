"""Command line of the policy benchmark."""

import pathlib
import typing

import msgspec
import typer

from mustardwood.benchmarks import results_plot
from mustardwood.benchmarks import results_table
from mustardwood.benchmarks import suite


def measure(
    policy: typing.Annotated[list[str] | None,
                             typer.Option(
                                 help="Policies; all by default.")] = None,
    workload: typing.Annotated[list[str] | None,
                               typer.Option(
                                   help="Workloads; all by default.")] = None,
    scenario: typing.Annotated[str,
                               typer.Option(
                                   help="Part of the scenarios' names.")] = "",
    seeds: typing.Annotated[int, typer.Option(help="Number of seeds.")] = 2,
    folder: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Folder for the JSON and the plot.")] = None,
) -> None:
    """Simulates the policies on each workload and prints result tables."""
    jobs = suite.list_jobs(workload or list(suite.WORKLOADS), policy or
                           list(suite.POLICIES), scenario, range(1, seeds + 1))
    results = suite.run_jobs(jobs)
    typer.echo(results_table.format_results(results))
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "results.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(results), indent=1))
        results_plot.plot_attainment(results, folder / "attainment.png")


if __name__ == "__main__":
    typer.run(measure)
