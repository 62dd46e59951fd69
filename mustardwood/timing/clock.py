"""The clock interface."""

import datetime
import typing


class Clock(typing.Protocol):
    """A source of wall-clock and monotonic time.

    Code that needs the time gets a clock as an argument, so that tests can pass
    a `ManualClock`.
    """

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time as an aware datetime in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since a fixed origin; it never decreases."""
