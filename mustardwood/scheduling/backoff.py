"""Exponential backoff from a failing endpoint."""

import datetime

_INITIAL_DELAY = datetime.timedelta(seconds=0.5)
_MAX_DELAY = datetime.timedelta(seconds=30)
_MAX_EXPONENT = 10


class Backoff:
    """Blocks an endpoint after a failure, for a delay that doubles each time.

    The delay has a maximum. After it has passed, the endpoint gets one attempt
    at a time until one succeeds.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._blocked_until = datetime.timedelta()

    @property
    def probing(self) -> bool:
        """Whether the endpoint has failed and not succeeded since."""
        return self._failures > 0

    def record_failure(self, now: datetime.timedelta) -> None:
        """Blocks the endpoint and doubles the next delay.

        Failures that are reported during a delay are ignored.
        """
        if now < self._blocked_until:
            return
        delay = _INITIAL_DELAY * 2**min(self._failures, _MAX_EXPONENT)
        self._failures += 1
        self._blocked_until = now + min(delay, _MAX_DELAY)

    def record_success(self) -> None:
        """Ends the backoff."""
        self._failures = 0
        self._blocked_until = datetime.timedelta()

    def allows_attempt(self, now: datetime.timedelta) -> bool:
        """Returns whether the delay has passed, so that attempts may start."""
        return now >= self._blocked_until
