"""Admission of requests by tier, as far as the engines' capacity goes."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import statistics
import typing
import zlib

from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch import demand_correction
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_rate_limits
from mustardwood.dispatch import engine_utilization
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import service_request
from mustardwood.dispatch import tier_shares

_TIME_CONSTANT = datetime.timedelta(seconds=4)
"""Time constant of the exponentially weighted demand."""
_UPDATE_INTERVAL = datetime.timedelta(milliseconds=250)
"""Interval at which demand and the division of capacity are computed."""
_DEMAND_LIFETIME = datetime.timedelta(seconds=3)
"""Time after which a peer's report of its demand is ignored.

It is that of three lost reports at the longest interval.
"""
_MAX_REPORTED = 64
"""Maximum number of services and tiers in one report: half a kilobyte."""
_MIN_DEMAND = 0.0005
"""Demand of a VM that is neglected, in engines."""
_MIN_RATE = 0.1
"""Rate limit, in requests per second, as which a smaller one counts.

It is that of the requests that show whether the limit still holds.
"""
_SLOW = 1.5
"""Factor from which an engine is much slower than the others.

The demand is in engines of the mean speed, so that small differences count.
"""
_MIN_WEIGHT = 0.5
"""Minimum weight of the time since the start in the demand."""
_HASH_VALUES = 2**32
"""Number of values of the hash that chooses the admitted requests."""

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
class _PeerDemand:
    received_at: datetime.timedelta
    demands: tuple[TierDemand, ...]
    corrections: collections.abc.Mapping[str, float]


class _ServiceAdmission:
    """State of the admission to one service.

    Attributes:
        utilization: Utilization of its engines.
        correction: Correction of the demand for them.
        shares: Division of their capacity.
        updated_at: Monotonic time of the last division.
        engines: Engines that it was made for.
        limited_count: Number of engines with a rate limit at that time.
        capacity: Capacity that was divided, in engines.
        used_capacity: Part of it that was in use.
    """

    def __init__(self, clock: timing.Clock,
                 loads: load_table.LoadTable) -> None:
        self.utilization = engine_utilization.EngineUtilization(clock, loads)
        self.correction = demand_correction.DemandCorrection()
        self.shares = tier_shares.TierShares()
        self.updated_at: datetime.timedelta | None = None
        self.engines: _Endpoints = ()
        self.limited_count = 0
        self.capacity = 0.0
        self.used_capacity = 0.0

    def set_capacity(self, capacity: float, max_utilization: float) -> None:
        """Sets the capacity, and records whether too much of it was lost.

        Whether the rest suffices does not depend on an estimate of the demand:
        it has to do the work of the engines that were lost.

        Args:
            capacity: Number of engines.
            max_utilization: Share of it that requests may need.
        """
        if capacity >= self.capacity:
            self.used_capacity = capacity * self.utilization.average
        elif (self.updated_at is not None and
              self.used_capacity > max_utilization * capacity):
            self.shares.record_loss(self.updated_at)
        self.capacity = capacity


class TierAdmission:
    """Decides which tiers the engines of a service have capacity for.

    Load pattern: most engines have left, and the rest have capacity for a part
    of the requests. If each VM fills up whatever room it sees, the large
    prompts of less urgent tiers keep the engines busy for seconds, and urgent
    requests are refused meanwhile.

    Each VM estimates for how long its requests keep an engine busy, and tells
    its peers the sum for each tier. All VMs thus know the same demand and admit
    the tiers in order of urgency until the capacity is used up, as in [1]_. The
    last tier is admitted in part; the rest is refused at once, before it takes
    up room. The estimate is corrected by the utilization that is observed.

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
        table: profiles.ProfileTable = profiles.FixedProfiles(),
        list_avoided: collections.abc.Callable[
            [], collections.abc.Set[str]] = frozenset,
        list_usable: collections.abc.Callable[[str],
                                              _Endpoints] = lambda service: ()
    ) -> None:
        """Creates a table without demand.

        Args:
            clock: Source of the monotonic time.
            loads: Load of the engines.
            rate_limits: Rate limits that the engines state.
            settings: Share of the engines' time that requests may need.
            table: Speed of the engines.
            list_avoided: Returns the names of engines that do not respond.
            list_usable: Returns the endpoints of a service that accept new
                requests, to observe them also while this VM has no requests.
        """
        self._clock = clock
        self._loads = loads
        self._list_avoided = list_avoided
        self._list_usable = list_usable
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
        self._services: dict[str, _ServiceAdmission] = {}
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
        now = self._clock.monotonic()
        share = self._update(request.service,
                             usable).shares.find_share(request.tier, now)
        return share >= 1.0 or (zlib.crc32(request.request_id.encode())
                                < share * _HASH_VALUES)

    def is_refusing(self, request: service_request.ServiceRequest) -> bool:
        """Returns whether requests of a request's tier are being refused."""
        service = self._services.get(request.service)
        return service is not None and service.shares.find_share(
            request.tier, self._clock.monotonic()) < 1.0

    def describe(
            self,
            request: service_request.ServiceRequest) -> dict[str, typing.Any]:
        """Returns what the decision on a request was based on, for the log.

        Returns:
            The demand of all VMs by tier, in engines by estimate; the
            `correction`, a factor on it; the observed `utilization` of the
            engines and the `share` of the request's tier that is admitted.
        """
        service = self._services.get(request.service)
        if service is None:
            return {}
        share = service.shares.find_share(request.tier, self._clock.monotonic())
        return {
            "demands": {
                str(tier): round(demand, 2) for tier, demand in sorted(
                    self.find_demands(request.service).items())
            },
            "correction": round(service.correction.factor, 2),
            "utilization": round(service.utilization.average, 2),
            "share": round(share, 2),
        }

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

    def list_corrections(self) -> dict[str, float]:
        """Returns this VM's factors on the demand by service, for peers."""
        for name in self._list_totals():
            usable = self._list_usable(name)
            if usable:
                self._update(name, usable)
        return {
            name: service.correction.factor
            for name, service in self._services.items()
        }

    def set_peer_demands(
            self,
            peer: str,
            demands: collections.abc.Iterable[TierDemand],
            corrections: collections.abc.Mapping[str, float] | None = None
    ) -> None:
        """Replaces a peer's report of its demand.

        Args:
            peer: Name of the peer.
            demands: Its demand, by estimate.
            corrections: Its factors on the demand by service.
        """
        self._peers[peer] = _PeerDemand(self._clock.monotonic(), tuple(demands),
                                        corrections or {})
        self._is_changed = True

    def confirm_peer_demands(self, peer: str) -> None:
        """Renews a peer's last report, which is still valid."""
        known = self._peers.get(peer)
        if known is not None:
            self._peers[peer] = _PeerDemand(self._clock.monotonic(),
                                            known.demands, known.corrections)

    def _update(self, name: str, usable: _Endpoints) -> _ServiceAdmission:
        """Divides a service's capacity among tiers if it is time for that."""
        now = self._clock.monotonic()
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceAdmission(
                self._clock, self._loads)
        limited_count = self._rate_limits.limited_count
        if (service.updated_at is not None and usable == service.engines and
                limited_count == service.limited_count and
                now - service.updated_at < _UPDATE_INTERVAL):
            return service
        elapsed = (datetime.timedelta() if service.updated_at is None else now -
                   service.updated_at)
        service.updated_at, service.engines = now, usable
        service.limited_count = limited_count
        demands = dict.fromkeys(
            (tier for service_name, tier in self._own if service_name == name),
            0.0) | self.find_demands(name)
        avoided = self._list_avoided()
        working = [each for each in usable if each.name not in avoided]
        service.utilization.update([
            each for each in working
            if self._rate_limits.find_limit(each) is None
        ])
        capacity = self._find_capacity(working) if working else 0.0
        service.set_capacity(capacity, self._settings.max_utilization)
        if capacity > 0.0 and not limited_count:
            service.correction.update(
                elapsed,
                service.shares.compute_admitted(demands) / capacity,
                service.utilization.average, self._settings.max_utilization,
                service.shares.is_refusing)
        service.correction.approach(elapsed, [
            each.corrections[name]
            for each in self._peers.values()
            if name in each.corrections
        ])
        service.shares.update(
            now, elapsed, demands, capacity * self._settings.max_utilization /
            service.correction.factor)
        return service

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
