"""Admission of requests by tier, as far as the engines' capacity goes."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import statistics

from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_rate_limits
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import service_request

_TIME_CONSTANT = datetime.timedelta(seconds=4)
"""Time constant of the exponentially weighted demand."""
_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)
"""Interval at which this VM's demand is computed again."""
_DEMAND_LIFETIME = datetime.timedelta(seconds=3)
"""Time after which a peer's report of its demand is ignored.

It is that of three lost reports at the longest interval.
"""
_MIN_REFUSAL_TIME = datetime.timedelta(seconds=2)
"""Time for which a tier and those after it are refused at least.

Otherwise, random changes of the demand would admit them again and again.
"""
_MAX_REPORTED = 64
"""Maximum number of services and tiers in one report: half a kilobyte."""
_MIN_DEMAND = 0.0005
"""Demand of a VM that is neglected, in engines."""
_MIN_RATE = 0.1
"""Rate limit, in requests per second, as which a smaller one counts.

It is that of the requests that show whether the limit still holds.
"""
_LIGHT_LOAD_SHARE = 0.5
"""Share of the slots up to which engines are lightly loaded."""
_LIGHT_LOAD_TIME = datetime.timedelta(seconds=1)
"""Time for which they are for each further tier that is admitted."""
_SLOW = 1.5
"""Factor from which an engine is much slower than the others.

The demand is in engines of the mean speed, so that small differences count.
"""
_MIN_WEIGHT = 0.5
"""Minimum weight of the time since the start in the demand."""

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


@dataclasses.dataclass(frozen=True)
class TierDemand:
    """Demand for engines by the requests of one tier at one VM.

    Attributes:
        service: Name of the service.
        tier: The tier; 0 is the most urgent.
        engines: Number of engines that the requests keep busy.
    """

    service: str
    tier: int
    engines: float


@dataclasses.dataclass(frozen=True)
class _LightLoad:
    """Time since which a number of engines has had free slots."""

    engines: int
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True)
class _PeerDemand:
    received_at: datetime.timedelta
    demands: tuple[TierDemand, ...]


class TierAdmission:
    """Decides which tiers the engines of a service have capacity for.

    Load pattern: most engines have left, and the rest have capacity for a part
    of the requests. If each VM fills up whatever room it sees, the large
    prompts of less urgent tiers keep the engines busy for seconds, and urgent
    requests are refused meanwhile.

    Each VM estimates for how long its requests keep an engine busy, and tells
    its peers the sum for each tier. All VMs thus know the same demand and admit
    the tiers in order of urgency until the capacity is used up, as in [1]_. The
    last tier that is admitted may wait on the engines; the tiers after it are
    refused at once, before they take up room.

    References:
        .. [1] H. Zhou et al., "Overload control for scaling WeChat
           microservices", SoCC 2018.
    """

    def __init__(
        self,
        clock: timing.Clock,
        loads: load_table.LoadTable,
        rate_limits: endpoint_rate_limits.EndpointRateLimits,
        settings: placement_settings.PlacementSettings,
        table: profiles.ProfileTable = profiles.FixedProfiles()
    ) -> None:
        """Creates a table without demand.

        Args:
            clock: Source of the monotonic time.
            loads: Load of the engines.
            rate_limits: Rate limits that the engines state.
            settings: Share of the engines' time that requests may need.
            table: Speed of the engines.
        """
        self._clock = clock
        self._loads = loads
        self._rate_limits = rate_limits
        self._settings = settings
        self._table = table
        self._own: dict[tuple[str, int], float] = {}
        self._own_rate = 0.0
        self._decayed_at = clock.monotonic()
        self._weight = 0.0
        self._reported: tuple[TierDemand, ...] = ()
        self._reported_at = clock.monotonic()
        self._peers: dict[str, _PeerDemand] = {}
        self._totals: dict[str, dict[int, float]] = {}
        self._refusals: dict[str, dict[int, datetime.timedelta]] = {}
        self._light_loads: dict[str, _LightLoad] = {}
        self._is_changed = True

    def record_arrival(self, request: service_request.ServiceRequest,
                       usable: _Endpoints) -> None:
        """Adds a request that has arrived at this VM to the demand.

        Args:
            request: The request.
            usable: Endpoints of its service that accept new requests.
        """
        if not request.prompt.input_tokens or not usable:
            return
        self._decay()
        key = request.service, request.tier
        seconds = self._estimate_time(request, usable)
        self._own[key] = (self._own.get(key, 0.0) +
                          seconds / _TIME_CONSTANT.total_seconds())
        self._own_rate += 1.0 / _TIME_CONSTANT.total_seconds()

    def is_admitted(self, request: service_request.ServiceRequest,
                    usable: _Endpoints) -> bool:
        """Returns whether the engines have capacity for a request.

        Args:
            request: The request.
            usable: Endpoints of its service that accept new requests.
        """
        if not request.prompt.input_tokens or not usable:
            return True
        service, now = request.service, self._clock.monotonic()
        spare_tiers = self._count_spare_tiers(service, usable)
        first_refused = self._find_first_refused(service,
                                                 self._find_capacity(usable))
        refusals = self._refusals.setdefault(service, {})
        if first_refused is not None:
            refusals[first_refused] = now + _MIN_REFUSAL_TIME
        for tier in [tier for tier, until in refusals.items() if until <= now]:
            del refusals[tier]
        return request.tier < min(refusals, default=math.inf) + spare_tiers

    def is_refusing(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether requests of a request's tier are being refused.

        In contrast to `is_admitted`, it does not prolong the refusal.
        """
        now = self._clock.monotonic()
        return any(
            tier <= request.tier and until > now
            for tier, until in self._refusals.get(request.service, {}).items())

    def find_demands(self, service: str) -> dict[int, float]:
        """Returns the demand of all VMs for a service's engines by tier."""
        return dict(self._list_totals().get(service, {}))

    def list_demands(self) -> tuple[TierDemand, ...]:
        """Returns this VM's demand, to report it to peers."""
        now = self._clock.monotonic()
        if now - self._reported_at >= _UPDATE_INTERVAL:
            self._reported_at = now
            self._decay()
            # Without this, the demand would be underestimated after a start.
            weight = max(self._weight, _MIN_WEIGHT)
            self._reported = tuple(
                TierDemand(service, tier, round(demand / weight, 4))
                for (service,
                     tier), demand in sorted(self._own.items()))[:_MAX_REPORTED]
            self._is_changed = True
        return self._reported

    def set_peer_demands(self, peer: str,
                         demands: collections.abc.Iterable[TierDemand]) -> None:
        """Replaces a peer's report of its demand."""
        self._peers[peer] = _PeerDemand(self._clock.monotonic(), tuple(demands))
        self._is_changed = True

    def confirm_peer_demands(self, peer: str) -> None:
        """Renews a peer's last report, which is still valid."""
        known = self._peers.get(peer)
        if known is not None:
            self._peers[peer] = _PeerDemand(self._clock.monotonic(),
                                            known.demands)

    def _find_first_refused(self, service: str, capacity: float) -> int | None:
        """Returns the most urgent tier without capacity; None if all have.

        Args:
            service: Name of the service.
            capacity: Number of engines, of which limited ones count in part.
        """
        left = capacity * self._settings.max_utilization
        tier = -1
        for tier, demand in sorted(self._list_totals().get(service,
                                                           {}).items()):
            if left <= 0.0:
                return tier
            left -= demand
        return tier + 1 if left <= 0.0 else None

    def _find_capacity(self, usable: _Endpoints) -> float:
        """Returns the number of engines of the usual speed.

        An engine that is much slower than the others counts as a part of one,
        as does one with a rate limit. Under overload, all engines seem to be
        slower than the service's profile, which must not refuse more tiers.
        """
        slowdowns = [
            self._table.find_profile(each.service, each.incarnation).slowdown
            for each in usable
        ]
        usual = statistics.median_low(slowdowns)
        speeds = [
            usual / each if each > _SLOW * usual else 1.0 for each in slowdowns
        ]
        if not self._rate_limits.limited_count or self._own_rate <= 0.0:
            return sum(speeds)
        mean_time = sum(self._own.values()) / self._own_rate
        limits = [self._rate_limits.find_limit(each) for each in usable]
        return sum(
            speed if limit is None else min(speed,
                                            max(limit, _MIN_RATE) * mean_time)
            for speed, limit in zip(speeds, limits))

    def _count_spare_tiers(self, service: str, usable: _Endpoints) -> int:
        """Returns how many refused tiers are admitted all the same.

        It is one for each `_LIGHT_LOAD_TIME` for which the engines have had
        free slots. The demand was then estimated too high, or it has just
        fallen. The time is measured whether or not a tier is refused:
        otherwise, demand that varies around the capacity would keep a tier
        refused beside idle engines.
        """
        now = self._clock.monotonic()
        known = self._loads.list_total_loads()
        requests = sum(
            known[each.name].requests for each in usable if each.name in known)
        light = self._light_loads.get(service)
        if (light is None or light.engines != len(usable) or requests
                >= _LIGHT_LOAD_SHARE * sum(each.slots for each in usable)):
            light = self._light_loads[service] = _LightLoad(len(usable), now)
        return (now - light.since) // _LIGHT_LOAD_TIME

    def _list_totals(self) -> dict[str, dict[int, float]]:
        """Returns the demand of all VMs by service and tier."""
        self.list_demands()
        if self._is_changed:
            self._is_changed = False
            oldest = self._clock.monotonic() - _DEMAND_LIFETIME
            self._peers = {
                name: each
                for name, each in self._peers.items()
                if each.received_at >= oldest
            }
            totals: dict[str, dict[int, float]] = collections.defaultdict(
                lambda: collections.defaultdict(float))
            reports = [each.demands for each in self._peers.values()]
            for each in (demand for report in (*reports, self._reported)
                         for demand in report):
                totals[each.service][each.tier] += each.engines
            self._totals = totals
        return self._totals

    def _decay(self) -> None:
        now = self._clock.monotonic()
        factor = math.exp(-((now - self._decayed_at) / _TIME_CONSTANT))
        self._decayed_at = now
        self._weight = 1.0 - (1.0 - self._weight) * factor
        self._own_rate *= factor
        self._own = {
            key: demand * factor
            for key, demand in self._own.items()
            if demand * factor >= _MIN_DEMAND
        }

    def _estimate_time(self, request: service_request.ServiceRequest,
                       usable: _Endpoints) -> float:
        """Returns for how many seconds a request keeps an engine busy.

        It takes the time of its prefill and its share of the steps in which a
        full batch generates output.
        """
        prompt = request.prompt
        profile = self._table.find_profile(request.service)
        own_tokens = prompt.input_tokens - prompt.shared_tokens
        slots = max(1, sum(each.slots for each in usable) // len(usable))
        return (own_tokens / profile.prefill_rate + profile.find_output_time(
            prompt.input_tokens, prompt.output_tokens, slots))
