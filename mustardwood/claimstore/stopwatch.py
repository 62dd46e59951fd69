"""Measuring elapsed time despite suspended VMs."""

import datetime

from mustardwood import timing


class Stopwatch:
    """Measures the time since its creation, including time in suspension.

    The monotonic clock stops while a VM is suspended, and the wall clock can
    be set back, so the longer of the two measured times is used.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._monotonic = clock.monotonic()
        self._wall = clock.now()

    def elapsed(self) -> datetime.timedelta:
        """Returns the time since the stopwatch was created."""
        return max(self._clock.monotonic() - self._monotonic,
                   self._clock.now() - self._wall)
