"""Measured rate at which a queue drains."""

import datetime

_DECAY = 0.95
"""Factor by which each new sample reduces the weight of the earlier ones."""
_MIN_RETRY_DELAY = datetime.timedelta(seconds=1)
_MAX_RETRY_DELAY = datetime.timedelta(seconds=60)


class DrainRate:
    """Grants per second, measured while requests wait."""

    def __init__(self) -> None:
        self._grants = 0.0
        self._elapsed_seconds = 0.0
        self._last_grant_at: datetime.timedelta | None = None

    def record_grant(self, now: datetime.timedelta, *,
                     backlogged: bool) -> None:
        """Records a grant, and whether requests still wait after it."""
        if self._last_grant_at is not None:
            self._grants = self._grants * _DECAY + 1.0
            elapsed = (now - self._last_grant_at).total_seconds()
            self._elapsed_seconds = self._elapsed_seconds * _DECAY + elapsed
        self._last_grant_at = now if backlogged else None

    def estimate_wait(self, ahead: int,
                      now: datetime.timedelta) -> datetime.timedelta:
        """Returns the expected wait behind `ahead` requests.

        It is zero as long as no rate has been measured.
        """
        seconds = self._elapsed_seconds
        if self._last_grant_at is not None:
            idle = (now - self._last_grant_at).total_seconds()
            seconds = max(seconds, idle)
        if self._grants <= 0.0:
            return datetime.timedelta()
        return datetime.timedelta(seconds=ahead * seconds / self._grants)

    def estimate_retry_delay(self, ahead: int,
                             now: datetime.timedelta) -> datetime.timedelta:
        """Returns the delay after which a refused caller should retry."""
        delay = self.estimate_wait(ahead, now)
        return min(max(delay, _MIN_RETRY_DELAY), _MAX_RETRY_DELAY)
