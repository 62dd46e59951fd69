"""A system clock that includes suspended time."""

import datetime
import time

from mustardwood.timing import system_clock


class SuspendAwareClock(system_clock.SystemClock):
    """A system clock whose monotonic time includes suspended time.

    `SystemClock` doesn't count the time during which the machine is suspended.
    The age of a `dispatch.FreshnessProof` must include the time for which the
    VM was suspended.
    """

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since boot, including suspended time."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME))
