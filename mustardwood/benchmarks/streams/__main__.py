"""The command line of the measurement."""

import dataclasses
import statistics
import typing

import typer

from mustardwood import dispatch
from mustardwood.benchmarks.streams import load
from mustardwood.benchmarks.streams import loads

_DESIGN = dispatch.PlacementSettings()
_SWITCHED_OFF = {
    "as designed":
        _DESIGN,
    "no breaks between prompts":
        dataclasses.replace(_DESIGN, slowest_engine_factor=0.01),
    "no engines kept free":
        dataclasses.replace(_DESIGN,
                            min_reserved_share=0.0,
                            max_reserved_share=0.0),
    "half of the engines kept free":
        dataclasses.replace(_DESIGN,
                            min_reserved_share=0.5,
                            max_reserved_share=0.5),
    "no bound on prompts in flight":
        dataclasses.replace(_DESIGN, max_prefill_tokens=10**9),
    "reading again costs nothing":
        dataclasses.replace(_DESIGN, cache_miss_streams=0.0),
}


def measure_streams(
    seeds: typing.Annotated[int, typer.Option(help="Plays of each load.")] = 3
) -> None:
    """Prints the credit of each load with single decisions switched off."""
    print("| load | setting | credit | late pauses | failed | read, Mtokens |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, played in loads.ALL.items():
        for setting, figures in _SWITCHED_OFF.items():
            outcomes = [
                load.play_load(played, figures, seed)
                for seed in range(1, seeds + 1)
            ]
            share = statistics.mean(each.share for each in outcomes)
            pauses = statistics.mean(each.late_pauses for each in outcomes)
            failed = statistics.mean(each.failed for each in outcomes)
            read = statistics.mean(each.read_tokens for each in outcomes) / 1e6
            print(f"| {name} | {setting} | {share:.3f} | {pauses:.0f} "
                  f"| {failed:.0f} | {read:.2f} |")


if __name__ == "__main__":
    typer.run(measure_streams)
