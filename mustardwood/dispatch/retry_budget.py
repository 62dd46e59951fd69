"""Limit on retries relative to the number of requests."""

import datetime
import random

_DEFAULT_RATIO = 0.1
"""Retries allowed for each request."""

_DEFAULT_CAPACITY = 32.0
"""Maximum number of accumulated retries."""

_FIRST_DELAY = datetime.timedelta(milliseconds=50)
_MAX_DELAY = datetime.timedelta(seconds=2)
_MAX_EXPONENT = 10


class RetryBudget:
    """A token bucket: requests add to it and retries take from it.

    References:
        M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
        2015.
    """

    def __init__(self,
                 rng: random.Random,
                 ratio: float = _DEFAULT_RATIO,
                 capacity: float = _DEFAULT_CAPACITY) -> None:
        """Creates a full budget.

        Args:
            rng: Random number generator for the delays.
            ratio: Retries allowed for each request.
            capacity: Maximum number of accumulated retries.
        """
        self._rng = rng
        self._ratio = ratio
        self._capacity = capacity
        self._tokens = capacity

    def add_request(self) -> None:
        """Adds the retries that one request allows."""
        self._tokens = min(self._capacity, self._tokens + self._ratio)

    def set_capacity(self, capacity: float) -> None:
        """Changes the maximum number of accumulated retries."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take_retry(self, reserved: float = 0.0) -> bool:
        """Takes one retry; returns False if the budget is used up.

        Args:
            reserved: Number of retries that must remain afterwards.
        """
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True

    def draw_delay(self, retries: int) -> datetime.timedelta:
        """Returns a random delay before a retry: exponential, with full jitter.

        Args:
            retries: Number of retries made before.
        """
        max_delay = _FIRST_DELAY * 2**min(retries, _MAX_EXPONENT)
        return min(max_delay, _MAX_DELAY) * self._rng.random()
