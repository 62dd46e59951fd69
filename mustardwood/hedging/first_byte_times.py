"""Recent times to the first byte of each route."""

import collections
import dataclasses
import datetime
import typing

from mustardwood import timing

if typing.TYPE_CHECKING:
    from hdrh import histogram as hdr

_UNIT = datetime.timedelta(microseconds=100)
"""Unit of the values in the histograms."""
_HIGHEST_UNITS = 600_000
"""Longest time that is told apart, a minute; longer ones count as that."""
_SIGNIFICANT_DIGITS = 2
"""Significant decimal digits of the values, that is, errors of up to 1%."""
_WINDOW = datetime.timedelta(seconds=60)
"""Half of the time after which a value is forgotten.

Of a service with 60 requests/s, each of 83 VMs gets 43 in that time.
"""
_MIN_SAMPLES = 8
"""Minimum number of values for a quantile.

A high quantile of few values is their maximum, with which a request is hedged
rather too late.
"""
_MAX_ROUTES = 512
"""Maximum number of routes; the two histograms of one take 30 KB."""
_CACHE_TIME = datetime.timedelta(milliseconds=250)
"""Time for which a quantile is reused; to find one takes 0.1 ms."""
_MEDIAN = 0.5


@dataclasses.dataclass
class _Route:
    """Histograms of a route, which contain the values since their start.

    The newer one starts when the older one is half as old as a value may be.
    Both get all values. When the older one expires, the newer one takes its
    place, so that it always covers at least the last `_WINDOW`.
    """

    older: "hdr.HdrHistogram"
    newer: "hdr.HdrHistogram"
    newer_started_at: datetime.timedelta
    quantile: datetime.timedelta | None = None
    median: datetime.timedelta | None = None
    found_at: datetime.timedelta | None = None


class FirstByteTimes:
    """Quantiles of the recent times from a send to the first byte, by route.

    The times of all endpoints count together: a slow endpoint is recognized by
    the times of the others.
    """

    def __init__(self, clock: timing.Clock, quantile: float) -> None:
        """Creates a table without times.

        Args:
            clock: Source of the monotonic time.
            quantile: The quantile to find, between 0 and 1.
        """
        self._clock = clock
        self._quantile = quantile
        self._routes: collections.OrderedDict[
            str, _Route] = collections.OrderedDict()

    def record(self, route: str, elapsed: datetime.timedelta) -> None:
        """Records the time of a response.

        Args:
            route: Name of the route.
            elapsed: Time from the send to the first byte. For an attempt that
                was cancelled before that, it is the time until then: without
                the slow ones, the quantile would fall with each hedged request.
        """
        now = self._clock.monotonic()
        found = self._routes.get(route)
        if found is None:
            found = _Route(_make_histogram(), _make_histogram(), now)
            self._routes[route] = found
            if len(self._routes) > _MAX_ROUTES:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        _drop_old(found, now)
        value = min(max(1, elapsed // _UNIT), _HIGHEST_UNITS)
        found.older.record_value(value)
        found.newer.record_value(value)

    def find_quantile(self, route: str) -> datetime.timedelta | None:
        """Returns the quantile of a route; None if too few times are known."""
        found = self._refresh(route)
        return None if found is None else found.quantile

    def find_median(self, route: str) -> datetime.timedelta | None:
        """Returns the median of a route; None if too few times are known."""
        found = self._refresh(route)
        return None if found is None else found.median

    def _refresh(self, route: str) -> _Route | None:
        found = self._routes.get(route)
        if found is None:
            return None
        now = self._clock.monotonic()
        if found.found_at is not None and now - found.found_at < _CACHE_TIME:
            return found
        _drop_old(found, now)
        found.found_at = now
        if found.older.get_total_count() < _MIN_SAMPLES:
            found.quantile = found.median = None
        else:
            found.quantile = _find_value(found.older, self._quantile)
            found.median = _find_value(found.older, _MEDIAN)
        return found


def _make_histogram() -> "hdr.HdrHistogram":
    # Processes without hedged requests start sooner without the import.
    from hdrh import histogram
    return histogram.HdrHistogram(1, _HIGHEST_UNITS, _SIGNIFICANT_DIGITS)


def _find_value(histogram: "hdr.HdrHistogram",
                quantile: float) -> datetime.timedelta:
    return histogram.get_value_at_percentile(quantile * 100) * _UNIT


def _drop_old(route: _Route, now: datetime.timedelta) -> None:
    age = now - route.newer_started_at
    if age < _WINDOW:
        return
    route.older = route.newer if age < 2 * _WINDOW else _make_histogram()
    route.newer = _make_histogram()
    route.newer_started_at = now
