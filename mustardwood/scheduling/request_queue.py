"""Queue of a cell."""

import collections.abc

import sortedcontainers

from mustardwood.scheduling import class_queue
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest


def _get_deadline(waiting: _Waiting) -> object:
    return waiting.deadline_at, waiting.key


class RequestQueue:
    """Holds all waiting requests of a cell, by class and tier."""

    def __init__(self) -> None:
        self._classes: dict[str, class_queue.ClassQueue] = {}
        self._tiers: dict[str, int] = {}
        self._by_key: dict[waiting_request.AttemptKey, _Waiting] = {}
        self._by_deadline = sortedcontainers.SortedKeyList(key=_get_deadline)

    def __len__(self) -> int:
        return len(self._by_key)

    def __iter__(self) -> collections.abc.Iterator[_Waiting]:
        return iter(list(self._by_key.values()))

    def find(self, key: waiting_request.AttemptKey) -> _Waiting | None:
        """Returns the request with a key; None if it doesn't wait."""
        return self._by_key.get(key)

    def find_class(self, name: str) -> class_queue.ClassQueue:
        """Returns the queue of a class; it is created if there is none."""
        return self._classes.setdefault(name, class_queue.ClassQueue())

    def list_backlogged_classes(self) -> list[str]:
        """Returns the names of the classes with waiting requests."""
        return [name for name, queue in self._classes.items() if queue]

    def add(self, waiting: _Waiting) -> None:
        """Adds a request."""
        name = waiting.request_class.name
        self._tiers[name] = waiting.tier
        self._by_key[waiting.key] = waiting
        self._by_deadline.add(waiting)
        self.find_class(name).add(waiting)

    def remove(self, waiting: _Waiting) -> None:
        """Removes a request."""
        del self._by_key[waiting.key]
        self._by_deadline.remove(waiting)
        self.find_class(waiting.request_class.name).remove(waiting)

    def get_tier(self, name: str) -> int:
        """Returns the tier of a class that had a request in the queue."""
        return self._tiers[name]

    def find_lowest_tier(self) -> int | None:
        """Returns the least urgent tier that waits; None for an empty queue."""
        tiers = [self._tiers[name] for name in self.list_backlogged_classes()]
        return max(tiers, default=None)

    def find_victim(self, tier: int) -> _Waiting:
        """Returns the request of a tier to shed first.

        It is the newest request of the organisation with the longest weighted
        backlog, in the class with the newest request.
        """
        queues = [
            self._classes[name]
            for name in self.list_backlogged_classes()
            if self._tiers[name] == tier
        ]
        queue = max(queues, key=lambda each: each.newest.sort_key)
        return queue.find_longest_backlog()[1]

    def count_ahead(self, tier: int) -> int:
        """Returns how many requests of this tier or a higher one wait."""
        return sum(
            len(self._classes[name])
            for name in self.list_backlogged_classes()
            if self._tiers[name] <= tier)

    def find_expired(self, now: object) -> _Waiting | None:
        """Returns a request whose deadline has passed, if there is one."""
        if not self._by_deadline or self._by_deadline[0].deadline_at > now:
            return None
        return self._by_deadline[0]
