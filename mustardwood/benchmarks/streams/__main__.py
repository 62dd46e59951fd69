"""Command line of the dispatch benchmark."""

import dataclasses
import statistics
import typing

import typer

from mustardwood import dispatch
from mustardwood.benchmarks.streams import simulation
from mustardwood.benchmarks.streams import load_profiles

_DEFAULTS = dispatch.PlacementSettings()
_SETTINGS = {
    "as designed":
        _DEFAULTS,
    "no breaks between prompts":
        dataclasses.replace(_DEFAULTS, slowest_engine_factor=0.01),
    "no engines kept free":
        dataclasses.replace(_DEFAULTS,
                            min_reserved_share=0.0,
                            max_reserved_share=0.0),
    "half of the engines kept free":
        dataclasses.replace(_DEFAULTS,
                            min_reserved_share=0.5,
                            max_reserved_share=0.5),
    "no bound on prompts in flight":
        dataclasses.replace(_DEFAULTS, min_prefill_tokens=10**9),
    "reading again costs nothing":
        dataclasses.replace(_DEFAULTS, cache_miss_streams=0.0),
}


def measure_streams(
    seeds: typing.Annotated[int,
                            typer.Option(
                                help="Number of seeds for each load.")] = 3
) -> None:
    """Prints the credit of each load, with single features switched off."""
    print("| load | setting | credit | late pauses | failed | read, Mtokens |")
    print("| --- | --- | --- | --- | --- | --- |")
    for name, profile in (*load_profiles.ALL.items(),
                          *load_profiles.SPEEDS.items()):
        for setting, settings in _list_settings(name):
            outcomes = [
                simulation.simulate_load(profile, settings, seed)
                for seed in range(1, seeds + 1)
            ]
            credit_share = statistics.mean(
                each.credit_share for each in outcomes)
            pauses = statistics.mean(each.late_pauses for each in outcomes)
            failed = statistics.mean(each.failed for each in outcomes)
            prefilled_mtokens = statistics.mean(
                each.prefilled_tokens for each in outcomes) / 1e6
            print(f"| {name} | {setting} | {credit_share:.3f} | {pauses:.0f} "
                  f"| {failed:.0f} | {prefilled_mtokens:.2f} |")


def _list_settings(load: str) -> list[tuple[str, dispatch.PlacementSettings]]:
    """Returns the settings of a load; engines of other speeds have one."""
    settings = list(_SETTINGS.items())
    return settings[:1] if load in load_profiles.SPEEDS else settings


if __name__ == "__main__":
    typer.run(measure_streams)
