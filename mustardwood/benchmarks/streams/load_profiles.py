"""Load profiles of the dispatch benchmark."""

import dataclasses

from mustardwood.benchmarks.streams import simulation

STEADY = simulation.LoadProfile()
"""Average arrival rates of the first user, without bursts."""

BURST_OF_LONG_PROMPTS = simulation.LoadProfile(
    bursts=(simulation.Burst("reconciliation", 2.0, 12.0, 3.0),))
"""End of a month: long prompts arrive three times as often."""

BURST_OF_QUESTIONS = simulation.LoadProfile(
    bursts=(simulation.Burst("question", 2.0, 8.0, 3.0),
            simulation.Burst("tagging", 2.0, 8.0, 2.5)))
"""Burst of short prompts, whose streams have the tightest event targets."""

BURST_AND_CRASH = simulation.LoadProfile(bursts=(simulation.Burst(
    "reconciliation", 2.0, 12.0,
    2.5), simulation.Burst("question", 6.0, 12.0, 2.0)),
                                         crashes=(7.0, 7.0))
"""Bursts of long and short prompts while two engines crash."""

_COSTLY_CONTEXT = dataclasses.replace(BURST_OF_LONG_PROMPTS.parameters,
                                      context_step_time=0.0000175,
                                      pair_time=0.0003,
                                      base_time=0.055,
                                      output_share=0.5)

SPEEDS = {
    "half as fast":
        dataclasses.replace(BURST_OF_LONG_PROMPTS, speeds=(0.5,), engines=9),
    "twice as fast":
        dataclasses.replace(BURST_OF_LONG_PROMPTS, speeds=(2.0,), engines=3),
    "three times as fast":
        dataclasses.replace(BURST_OF_LONG_PROMPTS, speeds=(3.0,), engines=2),
    "mixed speeds":
        dataclasses.replace(BURST_OF_LONG_PROMPTS,
                            speeds=(1.0, 1.0, 1.0 / 1.3)),
    "one slow for six seconds":
        dataclasses.replace(BURST_OF_QUESTIONS,
                            speed_changes=(simulation.SpeedChange(
                                1, 5.0, 11.0, 0.2),)),
    "costly context":
        dataclasses.replace(BURST_OF_LONG_PROMPTS, parameters=_COSTLY_CONTEXT),
}
"""Load profiles with engines of other speeds, by name.

The number of engines differs so that their capacity stays about the same.
"""

ALL = {
    "calm": STEADY,
    "rush of long prompts": BURST_OF_LONG_PROMPTS,
    "rush of questions": BURST_OF_QUESTIONS,
    "rush and crash": BURST_AND_CRASH,
}
"""All load profiles by name."""
