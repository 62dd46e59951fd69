"""Detection of endpoints that are slow compared with their cell."""

import datetime
import statistics

from mustardwood.scheduling import endpoint_pool
from mustardwood.scheduling import endpoint_record

_STRAGGLER_RATIO = 1.8
"""Relative latency, as a multiple of the median, that makes a straggler."""
_STALL_TIMEOUT = datetime.timedelta(seconds=3)
"""Time without a first token after which an attempt counts as stalled."""
_MIN_SAMPLES = 5
_MIN_ENDPOINTS = 3
_CHECK_INTERVAL = datetime.timedelta(seconds=1)
_DECREASE_INTERVAL = datetime.timedelta(seconds=5)
"""Time in which the limit may grow again before the next decrease."""


class StragglerDetection:
    """Detects stragglers and decreases their concurrency limits.

    An endpoint is a straggler if its inter-token time, relative to the one that
    is usual at its load, is far above the median of the cell. An endpoint that
    has delivered no first token for some seconds, although an attempt waits for
    one, is a straggler, too.

    The endpoint still gets a few attempts, and its limit grows again when they
    meet their targets.
    """

    def __init__(self) -> None:
        self._checked_at: datetime.timedelta | None = None
        self._decreased_at: dict[str, datetime.timedelta] = {}

    def detect_stragglers(self, pool: endpoint_pool.EndpointPool,
                          now: datetime.timedelta) -> None:
        """Marks stragglers and decreases their limits, once a second."""
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
