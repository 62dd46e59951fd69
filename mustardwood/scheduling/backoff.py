"""Back-off from endpoints that fail."""

import datetime

_INITIAL_DELAY = datetime.timedelta(seconds=0.5)
_MAX_DELAY = datetime.timedelta(seconds=30)
_MAX_EXPONENT = 10


class Backoff:
    """Exponential delay after failures, then one probe at a time."""

    def __init__(self) -> None:
        self._failures = 0
        self._blocked_until = datetime.timedelta()

    @property
    def probing(self) -> bool:
        """Whether the endpoint has not worked since it failed."""
        return self._failures > 0

    def record_failure(self, now: datetime.timedelta) -> None:
        """Doubles the delay; failures of one delay count once."""
        if now < self._blocked_until:
            return
        delay = _INITIAL_DELAY * 2**min(self._failures, _MAX_EXPONENT)
        self._failures += 1
        self._blocked_until = now + min(delay, _MAX_DELAY)

    def record_success(self) -> None:
        """Ends the back-off."""
        self._failures = 0
        self._blocked_until = datetime.timedelta()

    def allows_attempt(self, now: datetime.timedelta) -> bool:
        """Returns whether the endpoint may be tried."""
        return now >= self._blocked_until
