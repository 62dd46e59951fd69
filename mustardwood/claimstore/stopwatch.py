"""Elapsed time on two clocks."""

import datetime

from mustardwood import timing


class Stopwatch:
    """Measures time since it was made, also across a suspended VM.

    The monotonic clock stands still while a VM is suspended, and the wall
    clock can be set back; the longer of both is taken.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._monotonic = clock.monotonic()
        self._wall = clock.now()

    def elapsed(self) -> datetime.timedelta:
        """Returns the time since the stopwatch was made."""
        return max(self._clock.monotonic() - self._monotonic,
                   self._clock.now() - self._wall)
