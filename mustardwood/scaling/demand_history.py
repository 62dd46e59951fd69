"""The recent demand for a service's endpoints."""

import collections
import collections.abc
import dataclasses
import datetime
import math

from mustardwood.scaling import demand_forecast

_WINDOW = datetime.timedelta(seconds=30)
"""Time for which samples are kept: nearly two periods of the longest wave."""
_STEADY_QUANTILE = 0.65
"""Quantile of a tier's samples that counts as its steady demand.

A tier's bursts of 5 to 9 s take less than 0.3 of the window. With them, the
quantile is at the crest of waves, and above the mean without.
"""
_MAX_GAP = datetime.timedelta(seconds=2)
"""Time between two samples after which the demand counts as unknown again.

A VM was suspended, or its knowledge was incomplete.
"""
_BUSY_TIME = datetime.timedelta(seconds=3)
"""Time over which the number of busy endpoints is averaged."""
_MAX_OVERESTIMATE = 2.5
"""Maximum estimated demand as a multiple of the busy endpoints.

The estimate by tier may be three times too high. The number of busy endpoints
may be a third of the truth while load is low, since streams are then faster.
"""
_OVERESTIMATE_MARGIN = 1.0
"""Endpoints by which the estimate may exceed that multiple."""
_MAX_CERTAIN_DEMAND = 1.5
"""Multiple of the busy endpoints up to which the estimate is relied on.

Endpoints that are not preemptible are too dear to be ordered for a demand that
may not exist.
"""
_MIN_SPAN = datetime.timedelta(seconds=6)
"""Time after the first sample in which the demand is not known yet.

The estimate is an average over four seconds.
"""
_INITIAL_UTILIZATION = 0.4
"""Assumed minimum utilization of the first endpoints in that time."""
_MIN_BURSTING_SHARE = 0.5
"""Minimum share of the steady demand that a burst may multiply.

The requests of one kind may belong to several tiers.
"""
_URGENT_SHARE = 0.5
"""Share of the tiers with demand that counts as urgent."""


@dataclasses.dataclass(frozen=True)
class _Sample:
    time: datetime.timedelta
    demands: dict[int, float]
    busy_count: float
    certain: float


class DemandHistory:
    """Keeps samples of the demand and forecasts it from them.

    Load pattern: waves with a period of 11 to 17 s, and bursts that multiply
    the requests of one kind by 2.2 to 2.8 for 5 to 9 s. New endpoints need
    several seconds, so that a burst is over before they are there.

    Failure: the estimated demand may be wrong by a factor of three in either
    direction. It is bounded by the requests in flight.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[_Sample] = collections.deque()
        self._started_at: datetime.timedelta | None = None

    def record(self, time: datetime.timedelta,
               demands: collections.abc.Mapping[int, float],
               busy_count: float) -> None:
        """Adds a sample.

        Args:
            time: Monotonic time of the sample.
            demands: Estimated demand by tier, in endpoints.
            busy_count: Number of endpoints that the requests in flight would
                fill.
        """
        if (not self._samples or time - self._samples[-1].time > _MAX_GAP):
            self._started_at = time
        recent = [busy_count] + [
            each.busy_count
            for each in self._samples
            if time - each.time <= _BUSY_TIME
        ]
        mean_busy = sum(recent) / len(recent)
        corrected = _correct(demands, busy_count, mean_busy)
        self._samples.append(
            _Sample(
                time, corrected, busy_count,
                max(
                    busy_count,
                    min(sum(corrected.values()),
                        mean_busy * _MAX_CERTAIN_DEMAND))))
        while time - self._samples[0].time > _WINDOW:
            self._samples.popleft()

    def find_span(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the time since the first sample after the last gap."""
        if self._started_at is None:
            return datetime.timedelta()
        return now - self._started_at

    def make_forecast(self, now: datetime.timedelta,
                      ready_count: int) -> demand_forecast.DemandForecast:
        """Returns the forecast.

        Args:
            now: Monotonic time.
            ready_count: Number of endpoints that accept requests, from which
                the demand is assumed until enough samples are known.
        """
        is_known = self.find_span(now) >= _MIN_SPAN
        quantile = _STEADY_QUANTILE if is_known else 1.0
        tiers = {tier for each in self._samples for tier in each.demands}
        steady = {
            tier:
                _find_quantile(
                    [each.demands.get(tier, 0.0)
                     for each in self._samples], quantile)
            for tier in sorted(tiers)
        }
        assumed = 0.0 if is_known else ready_count * _INITIAL_UTILIZATION
        total = max(sum(steady.values()), assumed)
        largest_share = max(
            max(steady.values(), default=0.0) /
            total, _MIN_BURSTING_SHARE) if total else 0.0
        certain = [each.certain for each in self._samples] or [0.0]
        steady_certain = max(_find_quantile(certain, quantile), assumed)
        return demand_forecast.DemandForecast(
            max(certain[-1], steady_certain),
            max((sum(each.demands.values()) for each in self._samples),
                default=0.0), total, largest_share * total,
            _find_urgent_share(steady) * steady_certain)


def _correct(demands: collections.abc.Mapping[int, float], busy_count: float,
             mean_busy: float) -> dict[int, float]:
    """Returns the demand by tier, bounded by the busy endpoints."""
    total = sum(demands.values())
    if total <= 0.0:
        return {0: busy_count} if busy_count > 0.0 else {}
    highest = mean_busy * _MAX_OVERESTIMATE + _OVERESTIMATE_MARGIN
    factor = max(min(total, highest), busy_count) / total
    return {tier: each * factor for tier, each in demands.items()}


def _find_urgent_share(demands: dict[int, float]) -> float:
    """Returns the share of the more urgent tiers; 1 without any demand."""
    present = [tier for tier, each in sorted(demands.items()) if each > 0.0]
    if not present:
        return 1.0
    urgent = present[:math.ceil(len(present) * _URGENT_SHARE)]
    return sum(demands[tier] for tier in urgent) / sum(demands.values())


def _find_quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[min(
        len(ordered) - 1,
        math.ceil(quantile * len(ordered)) - 1)]
