"""The loads that are measured."""

from mustardwood.benchmarks.streams import load

CALM = load.Load()
"""Mean rates of the first user."""

RUSH_OF_LONG_PROMPTS = load.Load(
    bursts=(load.Burst("reconciliation", 2.0, 12.0, 3.0),))
"""Month close: long prompts come three times as often."""

RUSH_OF_QUESTIONS = load.Load(bursts=(load.Burst("question", 2.0, 8.0, 3.0),
                                      load.Burst("tagging", 2.0, 8.0, 2.5)))
"""Many short prompts, whose streams bear the shortest pauses."""

RUSH_AND_CRASH = load.Load(bursts=(load.Burst("reconciliation", 2.0, 12.0, 2.5),
                                   load.Burst("question", 6.0, 12.0, 2.0)),
                           crashes=(7.0, 7.0))
"""Both, and two engines crash meanwhile."""

ALL = {
    "calm": CALM,
    "rush of long prompts": RUSH_OF_LONG_PROMPTS,
    "rush of questions": RUSH_OF_QUESTIONS,
    "rush and crash": RUSH_AND_CRASH,
}
"""Loads by name."""
