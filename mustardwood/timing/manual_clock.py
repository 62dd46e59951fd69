"""A clock moved by its user, for tests and virtual time."""

import datetime

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock:
    """Stands still until advanced.

    Examples:
        >>> import datetime
        >>> clock = ManualClock()
        >>> clock.advance(datetime.timedelta(seconds=2))
        >>> clock.monotonic().total_seconds()
        2.0
    """

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time, aware, in UTC."""
        return _EPOCH + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since the clock was made."""
        return self._elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Moves the clock forward by `step`."""
        self._elapsed += step
