"""The machine's clock with the time of suspension counted."""

import datetime
import time

from mustardwood.timing import system_clock


class SuspendAwareClock(system_clock.SystemClock):
    """Goes on while the machine is suspended, unlike the steady clock.

    The age of a proof must include the time for which the VM stood still.
    """

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the machine's start."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
