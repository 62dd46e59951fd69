"""The clock of the operating system."""

import datetime
import time


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time as an aware datetime in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since boot, without suspended time."""
        return datetime.timedelta(seconds=time.monotonic())
