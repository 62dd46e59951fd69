"""Back-off from endpoints that fail."""

import datetime

_FIRST_DELAY = datetime.timedelta(seconds=0.5)
_LONGEST_DELAY = datetime.timedelta(seconds=30)
_LARGEST_EXPONENT = 10


class Backoff:
    """Exponential delay after failures, then one probe at a time."""

    def __init__(self) -> None:
        self._failures = 0
        self._until = datetime.timedelta()

    @property
    def probing(self) -> bool:
        """Whether the endpoint has not worked since it failed."""
        return self._failures > 0

    def record_failure(self, now: datetime.timedelta) -> None:
        """Doubles the delay; failures of one delay count once."""
        if now < self._until:
            return
        delay = _FIRST_DELAY * 2**min(self._failures, _LARGEST_EXPONENT)
        self._failures += 1
        self._until = now + min(delay, _LONGEST_DELAY)

    def record_success(self) -> None:
        """Ends the back-off."""
        self._failures = 0
        self._until = datetime.timedelta()

    def is_open(self, now: datetime.timedelta) -> bool:
        """Returns whether the endpoint may be tried."""
        return now >= self._until
