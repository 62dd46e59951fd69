"""The machine's clock."""

import datetime
import time


class SystemClock:
    """Reads the clocks of the operating system."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, aware, in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the machine's start."""
        return datetime.timedelta(seconds=time.monotonic())
