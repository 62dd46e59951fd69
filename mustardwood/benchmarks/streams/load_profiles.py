"""The loads that are measured."""

from mustardwood.benchmarks.streams import simulation

STEADY = simulation.LoadProfile()
"""Mean rates of the first user."""

BURST_OF_LONG_PROMPTS = simulation.LoadProfile(
    bursts=(simulation.Burst("reconciliation", 2.0, 12.0, 3.0),))
"""Month close: long prompts come three times as often."""

BURST_OF_QUESTIONS = simulation.LoadProfile(
    bursts=(simulation.Burst("question", 2.0, 8.0, 3.0),
            simulation.Burst("tagging", 2.0, 8.0, 2.5)))
"""Many short prompts, whose streams bear the shortest pauses."""

BURST_AND_CRASH = simulation.LoadProfile(bursts=(simulation.Burst(
    "reconciliation", 2.0, 12.0,
    2.5), simulation.Burst("question", 6.0, 12.0, 2.0)),
                                         crashes=(7.0, 7.0))
"""Both, and two engines crash meanwhile."""

ALL = {
    "calm": STEADY,
    "rush of long prompts": BURST_OF_LONG_PROMPTS,
    "rush of questions": BURST_OF_QUESTIONS,
    "rush and crash": BURST_AND_CRASH,
}
"""Loads by name."""
