"""Processor time of a piece of work."""

import collections.abc
import time


def measure_seconds(work: collections.abc.Callable[[], object]) -> float:
    """Returns the processor time that a call takes, in seconds."""
    begun = time.process_time()
    work()
    return time.process_time() - begun


def repeat(work: collections.abc.Callable[[], object], times: int,
           scale: float) -> list[float]:
    """Returns the processor times of some calls.

    Args:
        work: What is called.
        times: Number of calls.
        scale: Factor for each time in seconds.
    """
    return [measure_seconds(work) * scale for _ in range(times)]
