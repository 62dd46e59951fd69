"""Detection of endpoints that are slow compared with their cell."""

import datetime
import statistics

from mustardwood.scheduling import endpoint_pool
from mustardwood.scheduling import endpoint_record

_SLOW_FACTOR = 1.8
"""Times of the median slowness from which on an endpoint is a straggler."""
_STALL_TIME = datetime.timedelta(seconds=3)
"""Time without any first token after which a waiting attempt is stalled."""
_FEWEST_SAMPLES = 5
_FEWEST_ENDPOINTS = 3
_INTERVAL = datetime.timedelta(seconds=1)
_CUT_INTERVAL = datetime.timedelta(seconds=5)
"""Time for the limit to be probed back up before it is cut again."""


class StragglerDetection:
    """Compares each endpoint's pace with the median of the cell.

    The pace is taken relative to what is usual at the endpoint's load.

    A straggler's limit is cut; good answers raise it again, so the endpoint
    keeps being probed with little work.
    """

    def __init__(self) -> None:
        self._checked_at: datetime.timedelta | None = None
        self._cut_at: dict[str, datetime.timedelta] = {}

    def check(self, pool: endpoint_pool.EndpointPool,
              now: datetime.timedelta) -> None:
        """Cuts the limits of stragglers, at most once in a second."""
        last = self._checked_at
        if last is not None and now - last < _INTERVAL:
            return
        self._checked_at = now
        median = _find_median(pool)
        for record in pool:
            slow = _is_slow(record, median) or _is_stalled(record, now)
            record.straggling = slow
            if slow:
                self._cut(record, now)

    def _cut(self, record: endpoint_record.EndpointRecord,
             now: datetime.timedelta) -> None:
        last = self._cut_at.get(record.name)
        if last is not None and now - last < _CUT_INTERVAL:
            return
        self._cut_at[record.name] = now
        record.limit.cut(now)


def _find_median(pool: endpoint_pool.EndpointPool) -> float | None:
    means = [
        each.slowness.mean
        for each in pool
        if each.slowness.samples >= _FEWEST_SAMPLES
    ]
    if len(means) < _FEWEST_ENDPOINTS:
        return None
    return statistics.median(means)


def _is_slow(record: endpoint_record.EndpointRecord,
             median: float | None) -> bool:
    if median is None or record.slowness.samples < _FEWEST_SAMPLES:
        return False
    return record.slowness.mean > _SLOW_FACTOR * median


def _is_stalled(record: endpoint_record.EndpointRecord,
                now: datetime.timedelta) -> bool:
    since = now - _STALL_TIME
    if record.started_at > since:
        return False
    return any(not each.started and each.granted_at <= since
               for each in record.running.values())
