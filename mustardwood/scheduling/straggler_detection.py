"""Detection of endpoints that are slow compared with their cell."""

import datetime
import statistics

from mustardwood.scheduling import endpoint_pool
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import moving_average

_SLOW_FACTOR = 2.0
"""Times of the median from which on an endpoint is a straggler."""
_STALL_FACTOR = 4.0
"""Times of the median first token after which an attempt is stalled."""
_SHORTEST_STALL = datetime.timedelta(seconds=1)
_FEWEST_SAMPLES = 5
_FEWEST_ENDPOINTS = 3
_INTERVAL = datetime.timedelta(seconds=1)
_CUT_INTERVAL = datetime.timedelta(seconds=5)
"""Time for the limit to be probed back up before it is cut again."""


class StragglerDetection:
    """Compares each endpoint's times with the median of the cell.

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
        first_token = _find_median([each.first_token for each in pool])
        inter_token = _find_median([each.inter_token for each in pool])
        for record in pool:
            slow = (_is_slow(record.first_token, first_token) or
                    _is_slow(record.inter_token, inter_token) or
                    _is_stalled(record, first_token, now))
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


def _find_median(averages: list[moving_average.MovingAverage]) -> float | None:
    means = [each.mean for each in averages if each.samples >= _FEWEST_SAMPLES]
    if len(means) < _FEWEST_ENDPOINTS:
        return None
    return statistics.median(means)


def _is_slow(average: moving_average.MovingAverage,
             median: float | None) -> bool:
    if median is None or average.samples < _FEWEST_SAMPLES:
        return False
    return average.mean > _SLOW_FACTOR * median


def _is_stalled(record: endpoint_record.EndpointRecord, median: float | None,
                now: datetime.timedelta) -> bool:
    if median is None:
        return False
    bound = max(_SHORTEST_STALL,
                datetime.timedelta(seconds=_STALL_FACTOR * median))
    return any(not each.started and now - each.granted_at > bound
               for each in record.running.values())
