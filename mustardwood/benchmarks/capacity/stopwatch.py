"""Processor time of a piece of work."""

import collections.abc
import time


def measure_cpu_seconds(work: collections.abc.Callable[[], object]) -> float:
    """Returns the processor time that a call takes, in seconds."""
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def measure_repeatedly(work: collections.abc.Callable[[], object], times: int,
                       scale: float) -> list[float]:
    """Returns the processor times of some calls.

    Args:
        work: What is called.
        times: Number of calls.
        scale: Factor for each time in seconds.
    """
    return [measure_cpu_seconds(work) * scale for _ in range(times)]
