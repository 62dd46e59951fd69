"""Slots kept free of long work for short classes."""

import collections.abc
import datetime

from mustardwood import configuration
from mustardwood.scheduling import length_estimate

_LONG_FACTOR = 4.0
"""Times of a short class's expected length from which on work is long."""
_RECENT = datetime.timedelta(seconds=30)
"""How long after its last arrival a class keeps its reserve."""
_INTERVAL = datetime.timedelta(seconds=1)
_RESERVED_SHARE = 8
"""One slot in so many is reserved, and at least one."""


class ShortReserve:
    """Keeps a part of each endpoint's slots free of long work.

    Work of a class is long when a class of the same or a higher tier, with a
    tighter target and much shorter answers, was asked for lately.
    """

    def __init__(self, lengths: length_estimate.LengthEstimate) -> None:
        self._lengths = lengths
        self._arrived_at: dict[str, datetime.timedelta] = {}
        self._long: frozenset[str] = frozenset()
        self._computed_at: datetime.timedelta | None = None

    def record_arrival(self, name: str, now: datetime.timedelta) -> None:
        """Notes an arrival of a class."""
        last = self._arrived_at.get(name)
        if last is None or now - last > _RECENT:
            self._computed_at = None
        self._arrived_at[name] = now

    def find_long(self,
                  classes: collections.abc.Iterable[configuration.RequestClass],
                  now: datetime.timedelta) -> frozenset[str]:
        """Returns the classes that must leave reserved slots free."""
        last = self._computed_at
        if last is None or now - last >= _INTERVAL:
            self._computed_at = now
            self._long = self._compute_long(tuple(classes), now)
        return self._long

    def _compute_long(self, classes: tuple[configuration.RequestClass, ...],
                      now: datetime.timedelta) -> frozenset[str]:
        recent = [each for each in classes if self._is_recent(each.name, now)]
        return frozenset(each.name for each in classes if any(
            self._is_shorter(other, each) for other in recent))

    def _is_recent(self, name: str, now: datetime.timedelta) -> bool:
        last = self._arrived_at.get(name)
        return last is not None and now - last <= _RECENT

    def _is_shorter(self, short: configuration.RequestClass,
                    other: configuration.RequestClass) -> bool:
        if short.tier > other.tier:
            return False
        if short.first_token_seconds >= other.first_token_seconds:
            return False
        length = self._lengths.estimate(short) * _LONG_FACTOR
        return self._lengths.estimate(other) >= length


def count_reserved(limit: int) -> int:
    """Returns how many of an endpoint's slots long work leaves free.

    Examples:
        >>> [count_reserved(limit) for limit in (1, 2, 8, 32)]
        [0, 1, 1, 4]
    """
    if limit < 2:
        return 0
    return max(1, limit // _RESERVED_SHARE)
