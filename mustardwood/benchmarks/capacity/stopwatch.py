"""Measurement of the processor time of function calls."""

import collections.abc
import time


def measure_cpu_seconds(work: collections.abc.Callable[[], object]) -> float:
    """Returns the processor time of one call, in seconds."""
    started_at = time.process_time()
    work()
    return time.process_time() - started_at


def measure_repeatedly(work: collections.abc.Callable[[], object], times: int,
                       scale: float) -> list[float]:
    """Returns the processor times of repeated calls.

    Args:
        work: Function to call.
        times: Number of calls.
        scale: Factor by which each time in seconds is multiplied.
    """
    return [measure_cpu_seconds(work) * scale for _ in range(times)]
