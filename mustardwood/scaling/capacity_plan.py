"""The number of endpoints of each kind that each availability zone should have.
"""

import collections.abc
import dataclasses
import math

from mustardwood.scaling import demand_forecast
from mustardwood.scaling import scaling_parameters

_STEADY_UTILIZATION = 0.6
"""Utilization by the steady demand.

First-byte targets of 0.3 to 0.5 s leave no time to wait for other prompts.
"""
_BURST_UTILIZATION = 0.75
"""Utilization while a burst lasts."""
_MAX_UTILIZATION = 0.85
"""Utilization above which requests are late or refused.

`TierAdmission` refuses tiers from this utilization on. Below it, endpoints of
the dearer kind are ordered if the cheaper ones are not to be had.
"""
_BURST_FACTOR = 2.5
"""Factor by which a burst multiplies the demand of one kind of requests."""
_FULL_RESERVE_PRICE = 0.5
"""Price of preemptible endpoints up to which bursts are planned for in full.

The reserve falls to nothing as the price rises to that of other endpoints.
"""
_BASE_SHARE = 0.5
"""Share of the urgent demand that is covered without preemptible endpoints.

Several availability zones may reclaim theirs at almost the same time.
"""

_Place = tuple[str, bool]
"""An availability zone and whether the endpoints there are preemptible."""


@dataclasses.dataclass(frozen=True)
class CapacityPlan:
    """Number of endpoints by availability zone and kind.

    Attributes:
        wanted: Number of endpoints that is planned for, in total.
        needed: Number of endpoints below which requests are late or refused.
        counts: Planned endpoints by availability zone and whether they are
            preemptible.
    """

    wanted: int
    needed: int
    counts: collections.abc.Mapping[_Place, int]

    @property
    def total(self) -> int:
        """Number of planned endpoints, within the limits."""
        return sum(self.counts.values())

    @classmethod
    def from_forecast(cls,
                      parameters: scaling_parameters.ScalingParameters,
                      zones: collections.abc.Sequence[str],
                      forecast: demand_forecast.DemandForecast,
                      unavailable: collections.abc.Mapping[_Place, int] |
                      None = None,
                      pinned_count: int | None = None) -> "CapacityPlan":
        """Returns the plan for a forecast.

        Args:
            parameters: Limits and prices.
            zones: The availability zones, the cheapest first.
            forecast: The demand.
            unavailable: Places where no further endpoint can be had at
                present, with the number that is there; none if omitted.
            pinned_count: Total number that the operator has set; None if it
                follows from the forecast.
        """
        needed = math.ceil(forecast.certain / _MAX_UTILIZATION)
        wanted = _find_wanted(parameters, forecast)
        base = math.ceil(forecast.urgent * _BASE_SHARE / _MAX_UTILIZATION)
        if pinned_count is not None:
            wanted = needed = pinned_count
            base = min(base, pinned_count)
        else:
            # One zone may lose all of its preemptible endpoints.
            urgent = forecast.urgent / _MAX_UTILIZATION
            if len(zones) > 1:
                wanted = max(
                    wanted,
                    math.ceil((urgent - base / len(zones)) /
                              (1.0 - 1.0 / len(zones))))
            else:
                base = math.ceil(urgent)
        counts = _Spread(parameters, zones, unavailable or {})
        # The less urgent tiers wait for the preemptible endpoints that some
        # zone still has, or will have again within seconds. The urgent ones
        # are covered at the crest of a wave, too.
        required = needed
        if pinned_count is None and counts.has_preemptible_places:
            required = min(needed,
                           math.ceil(forecast.urgent / _BURST_UTILIZATION))
        counts.fill(False, lambda: counts.count_kind(False) < base)
        if counts.allows_preemptible:
            counts.fill(True, lambda: counts.total < wanted)
            counts.fill(False, lambda: counts.total < required)
        else:
            counts.fill(False, lambda: counts.total < wanted)
        counts.fill_minimum()
        return cls(wanted, needed, counts.counts)


class _Spread:
    """Spreads endpoints evenly over availability zones."""

    def __init__(self, parameters: scaling_parameters.ScalingParameters,
                 zones: collections.abc.Sequence[str],
                 unavailable: collections.abc.Mapping[_Place, int]) -> None:
        self._parameters = parameters
        self._zones = zones
        self._unavailable = unavailable
        self.allows_preemptible = find_reserve(parameters) > 0.0
        # Callers are in all zones, and an endpoint that is not preemptible
        # remains when the others are reclaimed.
        self.counts: dict[_Place, int] = {}
        for zone in zones:
            self.counts[zone, False] = max(1, unavailable.get((zone, False), 0))
            self.counts[zone, True] = unavailable.get((zone, True), 0)

    @property
    def has_preemptible_places(self) -> bool:
        """Whether a zone has preemptible endpoints to give."""
        return any(
            (each, True) not in self._unavailable for each in self._zones)

    @property
    def total(self) -> int:
        """Number of endpoints."""
        return sum(self.counts.values())

    def count_kind(self, is_preemptible: bool) -> int:
        """Returns the number of endpoints of one kind."""
        return sum(self.counts[zone, is_preemptible] for zone in self._zones)

    def fill(self, is_preemptible: bool,
             needs_more: collections.abc.Callable[[], bool]) -> None:
        """Adds endpoints, each where the fewest are, while there is room."""
        while needs_more():
            free = [
                zone for zone in self._zones
                if (zone, is_preemptible) not in self._unavailable and
                self._count_zone(zone) < self._parameters.max_count
            ]
            if not free:
                return
            # The first of equal zones is the cheapest.
            self.counts[min(free, key=self._count_zone), is_preemptible] += 1

    def fill_minimum(self) -> None:
        """Adds endpoints until each zone has the minimum number."""
        for zone in self._zones:
            missing = self._parameters.min_count - self._count_zone(zone)
            if missing > 0:
                is_preemptible = (self.allows_preemptible and
                                  (zone, True) not in self._unavailable)
                self.counts[zone, is_preemptible] += missing

    def _count_zone(self, zone: str) -> int:
        return self.counts[zone, False] + self.counts[zone, True]


def find_reserve(parameters: scaling_parameters.ScalingParameters) -> float:
    """Returns the share of the reserve for bursts that its price allows.

    Args:
        parameters: Prices.

    Returns:
        From 0, where preemptible endpoints are not cheaper than others, to 1.
    """
    price = parameters.preemptible_price
    if price is None:
        return 0.0
    return min(1.0, max(0.0, (1.0 - price) / (1.0 - _FULL_RESERVE_PRICE)))


def _find_wanted(parameters: scaling_parameters.ScalingParameters,
                 forecast: demand_forecast.DemandForecast) -> int:
    burst = forecast.steady + (
        (_BURST_FACTOR - 1.0) * forecast.bursting * find_reserve(parameters))
    return math.ceil(
        max(forecast.highest / _BURST_UTILIZATION,
            forecast.steady / _STEADY_UTILIZATION, burst / _BURST_UTILIZATION))
