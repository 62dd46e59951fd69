"""Exponential backoff between retries."""

import datetime
import random

INITIAL_DELAY = datetime.timedelta(milliseconds=250)
"""Mean delay before the first retry."""

MAX_DELAY = datetime.timedelta(seconds=15)
"""Upper bound on the mean delay."""


class Backoff:
    """Computes the delays between retries.

    The mean delay doubles with each retry. Each delay is drawn uniformly
    between 0.5 and 1.5 times the mean.

    Args:
        rng: Source of randomness.

    Examples:
        >>> backoff = Backoff(random.Random(1))
        >>> backoff.next_delay() < backoff.next_delay() * 4
        True
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._mean = INITIAL_DELAY

    def reset(self) -> None:
        """Resets the mean to the initial delay."""
        self._mean = INITIAL_DELAY

    def next_delay(self) -> datetime.timedelta:
        """Returns the delay before the next retry."""
        mean = self._mean
        self._mean = min(mean * 2, MAX_DELAY)
        return mean * self._rng.uniform(0.5, 1.5)
