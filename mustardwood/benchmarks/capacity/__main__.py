"""Command line of the capacity benchmark."""

import logging
import os
import pathlib
import typing

import msgspec
import typer

from mustardwood.benchmarks.capacity import agent_cost
from mustardwood.benchmarks.capacity import capacity_result
from mustardwood.benchmarks.capacity import configuration_cost
from mustardwood.benchmarks.capacity import memory_cost
from mustardwood.benchmarks.capacity import process_cost
from mustardwood.benchmarks.capacity import scheduler_cost
from mustardwood.benchmarks.capacity import table

_SIZES = (9, 100, 400)


def measure_capacity(
    output: typing.Annotated[pathlib.Path | None,
                             typer.Option(help="File for the JSON.")] = None,
    vms: typing.Annotated[
        list[int] | None,
        typer.Option(help="Sizes of the fleet; 9, 100, 400 by default.")] = None
) -> None:
    """Measures resource costs by fleet size and prints them as a table."""
    logging.disable(logging.CRITICAL)
    before = os.getloadavg()[0]
    slopes = scheduler_cost.measure() + configuration_cost.measure()
    slopes += memory_cost.measure()
    measured, idle = process_cost.measure()
    fleets = tuple(agent_cost.measure(size) for size in vms or _SIZES)
    result = capacity_result.CapacityResult(tuple(slopes + measured), idle,
                                            fleets,
                                            (before, os.getloadavg()[0]),
                                            os.cpu_count() or 0)
    typer.echo(table.format_result(result))
    if output is not None:
        output.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


if __name__ == "__main__":
    typer.run(measure_capacity)
