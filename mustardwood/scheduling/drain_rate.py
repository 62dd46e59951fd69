"""The measured rate at which a queue drains."""

import datetime

_DECAY = 0.95
"""Weight that a sample keeps at each later one."""
_SHORTEST_RETRY = datetime.timedelta(seconds=1)
_LONGEST_RETRY = datetime.timedelta(seconds=60)


class DrainRate:
    """Grants a second, measured while requests wait."""

    def __init__(self) -> None:
        self._grants = 0.0
        self._seconds = 0.0
        self._last: datetime.timedelta | None = None

    def record_grant(self, now: datetime.timedelta, *,
                     backlogged: bool) -> None:
        """Takes in a grant, and whether requests still wait after it."""
        if self._last is not None:
            self._grants = self._grants * _DECAY + 1.0
            elapsed = (now - self._last).total_seconds()
            self._seconds = self._seconds * _DECAY + elapsed
        self._last = now if backlogged else None

    def estimate_delay(self, ahead: int,
                       now: datetime.timedelta) -> datetime.timedelta:
        """Returns the wait behind `ahead` requests; zero while unmeasured."""
        seconds = self._seconds
        if self._last is not None:
            idle = (now - self._last).total_seconds()
            seconds = max(seconds, idle)
        if self._grants <= 0.0:
            return datetime.timedelta()
        return datetime.timedelta(seconds=ahead * seconds / self._grants)

    def estimate_retry(self, ahead: int,
                       now: datetime.timedelta) -> datetime.timedelta:
        """Returns when a refused caller should come back."""
        delay = self.estimate_delay(ahead, now)
        return min(max(delay, _SHORTEST_RETRY), _LONGEST_RETRY)
