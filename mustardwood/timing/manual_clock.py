"""A clock that its user advances, for tests and simulations."""

import datetime

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class ManualClock:
    """A clock whose time changes only when it is advanced.

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
        """Returns the wall-clock time as an aware datetime in UTC."""
        return _EPOCH + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Returns the time by which the clock was advanced."""
        return self._elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Advances the clock by `step`."""
        self._elapsed += step
