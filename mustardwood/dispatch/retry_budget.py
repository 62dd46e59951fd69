"""A bound on retries as a share of traffic."""

import datetime
import random

_SHARE = 0.1
"""Retries allowed for each request."""

_CAPACITY = 32.0
"""Retries that can be saved up."""

_FIRST_DELAY = datetime.timedelta(milliseconds=50)
_LONGEST_DELAY = datetime.timedelta(seconds=2)
_MAXIMUM_EXPONENT = 10


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    References:
        M. Brooker, "Exponential backoff and jitter", AWS Architecture Blog,
        2015.
    """

    def __init__(self,
                 rng: random.Random,
                 share: float = _SHARE,
                 capacity: float = _CAPACITY) -> None:
        """Creates a full budget.

        Args:
            rng: Draws the delays.
            share: Retries allowed for each request.
            capacity: Retries that can be saved up.
        """
        self._rng = rng
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    def add_request(self) -> None:
        """Adds the share of one request."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def set_capacity(self, capacity: float) -> None:
        """Changes how many retries can be saved up."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def take_retry(self) -> bool:
        """Takes one retry; returns False when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def draw_delay(self, retries: int) -> datetime.timedelta:
        """Draws the delay before a retry, exponential with full jitter."""
        bound = _FIRST_DELAY * 2**min(retries, _MAXIMUM_EXPONENT)
        return min(bound, _LONGEST_DELAY) * self._rng.random()
