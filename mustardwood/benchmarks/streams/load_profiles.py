"""Load profiles of the dispatch benchmark."""

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

ALL = {
    "calm": STEADY,
    "rush of long prompts": BURST_OF_LONG_PROMPTS,
    "rush of questions": BURST_OF_QUESTIONS,
    "rush and crash": BURST_AND_CRASH,
}
"""All load profiles by name."""
