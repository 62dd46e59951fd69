"""The clock interface."""

import datetime
import typing


class Clock(typing.Protocol):
    """Tells the time; passed to whatever needs it."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, aware, in UTC."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary origin; never goes back."""
