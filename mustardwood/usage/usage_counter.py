"""Counts the requests of a VM that began to run."""

import collections
import collections.abc
import datetime
import itertools

from mustardwood import timing
from mustardwood.usage import true_time as true_time_module
from mustardwood.usage import usage_windows

MAX_WINDOWS = 12
"""Number of windows whose counts are kept.

With windows of 5 s, it covers an outage of the store of nearly a minute.
"""


class UsageCounter:
    """Counts requests by organisation and window in true time.

    It implements `dispatch.RequestCounter`. True time is uncertain by seconds
    until the clocks of the peers are known. Requests that begin before that are
    assigned to their windows later.

    Attributes:
        request_count: Number of requests counted.
        late_count: Number of those that were counted after their window was
            finalized.
    """

    def __init__(self, windows: usage_windows.UsageWindows,
                 true_time: true_time_module.TrueTime,
                 clock: timing.Clock) -> None:
        self._windows = windows
        self._true_time = true_time
        self._started_at = clock.monotonic()
        self._first_window: int | None = None
        self._unassigned: collections.Counter[tuple[
            str, datetime.timedelta]] = collections.Counter()
        self._counts: dict[int, collections.Counter[str]] = {}
        self._closed_through = -1
        self.request_count = 0
        self.late_count = 0

    @property
    def first_window(self) -> int | None:
        """Window in which this VM started; None until true time is known."""
        self._assign_early_requests()
        return self._first_window

    def record_begin(self, organisation: str,
                     began_at: datetime.timedelta) -> None:
        """Counts a request that began to run.

        Args:
            organisation: Name of its organisation.
            began_at: Monotonic time at which it began.
        """
        self.request_count += 1
        if self._first_window is None:
            self._unassigned[organisation, began_at] += 1
            self._assign_early_requests()
        else:
            self._assign(organisation, began_at, 1)

    def close_windows(self, through: int) -> None:
        """Discards the counts of windows that have been finalized.

        Args:
            through: The last of these windows.
        """
        self._closed_through = max(self._closed_through, through)
        for window in [each for each in self._counts if each <= through]:
            del self._counts[window]

    def list_counts(self) -> dict[int, collections.abc.Mapping[str, int]]:
        """Returns the counts by window and organisation."""
        self._assign_early_requests()
        return dict(self._counts)

    def _assign_early_requests(self) -> None:
        if self._first_window is not None or not self._true_time.is_settled:
            return
        self._first_window = self._windows.find_window(
            self._true_time.convert(self._started_at))
        early, self._unassigned = self._unassigned, collections.Counter()
        for (organisation, began_at), count in early.items():
            self._assign(organisation, began_at, count)

    def _assign(self, organisation: str, began_at: datetime.timedelta,
                count: int) -> None:
        window = self._windows.find_window(self._true_time.convert(began_at))
        if window <= self._closed_through:
            self.late_count += count
            return
        if window not in self._counts:
            self._counts[window] = collections.Counter()
            excess = max(0, len(self._counts) - MAX_WINDOWS)
            for each in list(itertools.islice(sorted(self._counts), excess)):
                del self._counts[each]
        if window in self._counts:
            self._counts[window][organisation] += count
