"""Command line of the benchmark of hedged requests."""

import typing

import typer

from mustardwood import hedging
from mustardwood.benchmarks.hedging import replay
from mustardwood.benchmarks.hedging import replay_profiles

_SHARES = (0.0, 0.01, 0.02, 0.05)


def measure_hedging(
    seeds: typing.Annotated[int,
                            typer.Option(
                                help="Number of seeds for each load.")] = 3
) -> None:
    """Prints the tail of the times to the first byte by limit."""
    print("| load | limit | requests | unanswered | p50, ms | p99, ms "
          "| p99.9, ms | hedged | won | two at once, s | busy, s |")
    print("| --- " * 11 + "|")
    for name, profile in replay_profiles.ALL.items():
        for share in _SHARES:
            result = replay.replay_seeds(profile, hedging.HedgeSettings(share),
                                         range(1, seeds + 1))
            p50, p99, p999 = (round(result.find_quantile(each) * 1000)
                              for each in (0.5, 0.99, 0.999))
            print(
                f"| {name} | {share:g} | {result.requests} "
                f"| {result.unanswered} | {p50} | {p99} | {p999} "
                f"| {result.hedges} | {result.wins} "
                f"| {result.overlap_seconds:.1f} | {result.busy_seconds:.0f} |",
                flush=True)


if __name__ == "__main__":
    typer.run(measure_hedging)
