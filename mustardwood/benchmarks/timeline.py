"""Event queue in simulated time."""

import collections.abc
import datetime
import heapq
import itertools

Callback = collections.abc.Callable[[], None]


class Timeline:
    """Runs callbacks in order of their simulated time.

    Callbacks that are due at the same time run in the order of scheduling.

    Attributes:
        seconds: Current simulated time, in seconds.

    Examples:
        >>> timeline = Timeline()
        >>> seen = []
        >>> timeline.call_at(2.0, lambda: seen.append("b"))
        >>> timeline.call_at(1.0, lambda: seen.append("a"))
        >>> timeline.run_until(3.0)
        >>> seen, timeline.seconds
        (['a', 'b'], 3.0)
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callback]] = []

    @property
    def now(self) -> datetime.timedelta:
        """The current simulated time."""
        return datetime.timedelta(seconds=self.seconds)

    def call_at(self, seconds: float, callback: Callback) -> None:
        """Schedules a callback at a time in seconds, now if that has passed."""
        due = max(seconds, self.seconds)
        heapq.heappush(self._heap, (due, next(self._order), callback))

    def call_later(self, delay: float, callback: Callback) -> None:
        """Schedules a callback after a delay in seconds."""
        self.call_at(self.seconds + delay, callback)

    def run_until(self, end: float) -> None:
        """Runs all callbacks that are due up to `end`, in seconds."""
        while self._heap and self._heap[0][0] <= end:
            due, _, callback = heapq.heappop(self._heap)
            self.seconds = due
            callback()
        self.seconds = end
