"""Detection of endpoints that are slow compared with their cell."""

import datetime
import statistics

from mustardwood.scheduling import endpoint_pool
from mustardwood.scheduling import endpoint_record

_STRAGGLER_RATIO = 1.8
"""Times of the median slowness from which on an endpoint is a straggler."""
_STALL_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without any first token after which a waiting attempt is stalled."""
_MIN_SAMPLES = 5
_MIN_ENDPOINTS = 3
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
_DECREASE_INTERVAL = datetime.timedelta(seconds=5)
"""Time for the limit to be probed back up before it is cut again."""


class StragglerDetection:
    """Compares each endpoint's pace with the median of the cell.

    The pace is taken relative to what is usual at the endpoint's load.

    A straggler's limit is cut; good answers raise it again, so the endpoint
    keeps being probed with little work.
    """

    def __init__(self) -> None:
        self._checked_at: datetime.timedelta | None = None
        self._decreased_at: dict[str, datetime.timedelta] = {}

    def detect_stragglers(self, pool: endpoint_pool.EndpointPool,
                          now: datetime.timedelta) -> None:
        """Cuts the limits of stragglers, at most once in a second."""
        last = self._checked_at
        if last is not None and now - last < _CHECK_INTERVAL:
            return
        self._checked_at = now
        median = _find_median(pool)
        for record in pool:
            is_straggler = _is_slow(record, median) or _is_stalled(record, now)
            record.straggling = is_straggler
            if is_straggler:
                self._decrease_limit(record, now)

    def _decrease_limit(self, record: endpoint_record.EndpointRecord,
                        now: datetime.timedelta) -> None:
        last = self._decreased_at.get(record.name)
        if last is not None and now - last < _DECREASE_INTERVAL:
            return
        self._decreased_at[record.name] = now
        record.limit.decrease_for_straggler(now)


def _find_median(pool: endpoint_pool.EndpointPool) -> float | None:
    means = [
        each.relative_latency.mean
        for each in pool
        if each.relative_latency.sample_count >= _MIN_SAMPLES
    ]
    if len(means) < _MIN_ENDPOINTS:
        return None
    return statistics.median(means)


def _is_slow(record: endpoint_record.EndpointRecord,
             median: float | None) -> bool:
    if median is None or record.relative_latency.sample_count < _MIN_SAMPLES:
        return False
    return record.relative_latency.mean > _STRAGGLER_RATIO * median


def _is_stalled(record: endpoint_record.EndpointRecord,
                now: datetime.timedelta) -> bool:
    since = now - _STALL_TIMEOUT
    if record.last_first_token_at > since:
        return False
    return any(not each.has_first_token and each.granted_at <= since
               for each in record.running.values())
