"""The windows of time for which usage is reported."""

import dataclasses
import datetime

EPOCH = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
"""Begin of window 0."""


@dataclasses.dataclass(frozen=True)
class UsageWindows:
    """Windows of equal length, counted from the Unix epoch in true time.

    Attributes:
        length: Length of a window.
        report_delay: Time after the end of a window at which its report is due.

    Examples:
        >>> import datetime
        >>> windows = UsageWindows(datetime.timedelta(seconds=5),
        ...                        datetime.timedelta(seconds=10))
        >>> windows.find_window(EPOCH + datetime.timedelta(seconds=9))
        1
        >>> windows.find_end(1).isoformat()
        '1970-01-01T00:00:10+00:00'
    """

    length: datetime.timedelta
    report_delay: datetime.timedelta

    def find_window(self, time: datetime.datetime) -> int:
        """Returns the number of the window that a time is in."""
        return (time - EPOCH) // self.length

    def find_end(self, window: int) -> datetime.datetime:
        """Returns the end of a window."""
        return EPOCH + (window + 1) * self.length

    def find_due_time(self, window: int) -> datetime.datetime:
        """Returns the time at which the report of a window is due."""
        return self.find_end(window) + self.report_delay

    def find_last_ended(self, time: datetime.datetime) -> int:
        """Returns the last window that has ended at a time."""
        return self.find_window(time) - 1
