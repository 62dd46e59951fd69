"""Placement, which chooses an endpoint for each request."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import random

from mustardwood import profiles
from mustardwood import timing
from mustardwood.dispatch import decode_pace
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_brittleness
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import endpoint_pauses
from mustardwood.dispatch import endpoint_rate_limits
from mustardwood.dispatch import engine_partition
from mustardwood.dispatch import engine_pool
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import prefix_cache_index
from mustardwood.dispatch import prompt_cost
from mustardwood.dispatch import service_parameters
from mustardwood.dispatch import service_request

_IDLE = endpoint_load.EndpointLoad()

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


@dataclasses.dataclass(frozen=True)
class Choice:
    """The chosen endpoint, with the reasons.

    Attributes:
        endpoint: The endpoint.
        cost: Cost of the request there, which was the lowest; for an engine,
            expected seconds including the delay caused for other requests.
        is_preferred: Whether it is the preferred engine of the prompt's shared
            prefix, where all VMs expect it to be cached.
        is_cached: Whether it probably has the shared prefix in its cache.
        load: The load that the request adds there.
        known_load: The load that was known to be there before.
        expected_first_token: Time in which the first token is expected, by the
            engine's profile; 0 for a plain service.
        slowdown: Factor of the engine's times on those of its service.
        takes_long_prompts: Whether the engine is not reserved for interactive
            streams.
        prefill_share: Share of the recent time for which the engine was
            prefilling, from 0 to 1.
    """

    endpoint: endpoint_module.Endpoint
    cost: float
    is_preferred: bool
    is_cached: bool
    load: endpoint_load.EndpointLoad
    known_load: endpoint_load.EndpointLoad = _IDLE
    expected_first_token: datetime.timedelta = datetime.timedelta()
    slowdown: float = 1.0
    takes_long_prompts: bool = True
    prefill_share: float = 0.0


class Placement:
    """Chooses the endpoint with the lowest expected cost.

    Load patterns: the prefill of a long prompt stalls all streams on the same
    engine, so long prompts go to some of the engines only, which all VMs choose
    alike (`EnginePartition`). Requests with a common prefix are sent to the
    same engine by rendezvous hashing [1]_, until waiting there costs more than
    prefilling the prefix on another one. During a burst, engines are filled up
    to their slots and memory, and further requests wait at the router, which
    refuses them if they wait too long.

    References:
        .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def __init__(
        self,
        zone: str,
        clock: timing.Clock,
        loads: load_table.LoadTable,
        health: endpoint_health.EndpointHealth,
        prefix_caches: prefix_cache_index.PrefixCacheIndex,
        rate_limits: endpoint_rate_limits.EndpointRateLimits,
        pauses: endpoint_pauses.EndpointPauses,
        settings: placement_settings.PlacementSettings,
        find_service: collections.abc.Callable[
            [str], service_parameters.ServiceParameters],
        rng: random.Random,
        table: profiles.ProfileTable = profiles.FixedProfiles(),
        brittleness: endpoint_brittleness.EndpointBrittleness | None = None
    ) -> None:
        self._brittleness = brittleness
        self._table = table
        self._zone = zone
        self._clock = clock
        self._loads = loads
        self._health = health
        self._prefix_caches = prefix_caches
        self._rate_limits = rate_limits
        self._pauses = pauses
        self._partitions: dict[str, engine_partition.EnginePartition] = {}
        self._paces: dict[str, decode_pace.DecodePace] = {}
        self._settings = settings
        self._find_service = find_service
        self._rng = rng
        self._pools: dict[str, engine_pool.EnginePool] = {}

    def choose(
        self, request: service_request.ServiceRequest, usable: _Endpoints,
        tried: collections.abc.Set[str]
    ) -> Choice | placement_limit.PlacementLimit:
        """Returns the best of the endpoints that were not tried before.

        A long prompt waits for the engine with the lowest cost instead of
        using another one with free capacity. The longer it has waited, the
        less a cached prefix counts in the cost.

        Args:
            request: The request.
            usable: Endpoints of its service that accept new requests.
            tried: Names of the endpoints that it was sent to before.

        Returns:
            The choice; the limit that keeps the request from being placed if
            all endpoints were tried or none has room.
        """
        untried = ([each for each in usable if each.name not in tried]
                   if tried else usable)
        if not untried:
            return placement_limit.PlacementLimit.NO_ENDPOINT
        unpaused = self._pauses.list_allowed(untried)
        if not unpaused:
            return placement_limit.PlacementLimit.PAUSED
        allowed = self._rate_limits.list_allowed(unpaused, request.tier)
        if not allowed:
            return placement_limit.PlacementLimit.RATE
        allowed = self._list_with_room(self._pauses.list_not_full(allowed))
        if not allowed:
            return placement_limit.PlacementLimit.SLOTS
        avoided = self._health.list_avoided()
        reachable = ([each for each in allowed if each.name not in avoided]
                     if avoided else allowed)
        candidates = reachable or allowed
        if not request.prompt.input_tokens:
            return self._choose_plain_endpoint(candidates)
        return self._choose_engine(request, usable, candidates)

    def _list_with_room(self, endpoints: _Endpoints) -> _Endpoints:
        """Returns the endpoints but brittle ones that are full."""
        brittleness = self._brittleness
        if brittleness is None or brittleness.is_empty:
            return endpoints
        loads = self._loads.list_total_loads()
        return [
            each for each in endpoints
            if brittleness.has_room(each,
                                    loads.get(each.name, _IDLE).requests)
        ]

    def estimate_prefill_time(self, choice: Choice) -> datetime.timedelta:
        """Returns how long the prompt and those before it take to prefill."""
        tokens = choice.known_load.prefill_tokens + choice.load.prefill_tokens
        profile = self._table.find_profile(choice.endpoint.service,
                                           choice.endpoint.incarnation)
        return datetime.timedelta(seconds=tokens / profile.prefill_rate)

    def record_progress(self, request: service_request.ServiceRequest,
                        began_at: datetime.timedelta, events: int) -> None:
        """Records how far the stream of a long prompt has come.

        Args:
            request: Its request.
            began_at: Monotonic time of its first event.
            events: Number of its events so far.
        """
        if self._settings.is_long(request):
            self._find_pace(request.service).record_progress(
                request, began_at,
                events * self._find_service(request.service).event_tokens,
                self._clock.monotonic())

    def find_long_prompt_engines(self, service: str,
                                 usable: _Endpoints) -> frozenset[str]:
        """Returns the names of the engines that take long prompts.

        Args:
            service: Name of the service.
            usable: Endpoints of the service that accept new requests.
        """
        return self._find_partition(service).find_long_prompt_engines(
            usable,
            self._find_service(service).event_tokens)

    def _find_pool(self, service: str,
                   usable: _Endpoints) -> engine_pool.EnginePool:
        long_prompt_engines = self.find_long_prompt_engines(service, usable)
        pool = self._pools.get(service)
        if (pool is None or pool.usable is not usable or
                pool.long_prompt_engines != long_prompt_engines):
            pool = engine_pool.EnginePool(usable, long_prompt_engines)
            self._pools[service] = pool
        return pool

    def _find_partition(self, service: str) -> engine_partition.EnginePartition:
        partition = self._partitions.get(service)
        if partition is None:
            partition = engine_partition.EnginePartition(
                self._clock, self._loads, self._settings, self._table, service)
            self._partitions[service] = partition
        return partition

    def _find_pace(self, service: str) -> decode_pace.DecodePace:
        return self._paces.setdefault(service, decode_pace.DecodePace())

    def _choose_plain_endpoint(
            self,
            candidates: _Endpoints) -> Choice | placement_limit.PlacementLimit:
        loads = self._loads.list_total_loads()
        best, least_cost = None, math.inf
        for each in candidates:
            load = loads.get(each.name, _IDLE)
            cost = load.requests / max(1,
                                       each.slots) + self._find_base_cost(each)
            if cost < least_cost:
                best, least_cost = each, cost
        if best is None:
            return placement_limit.PlacementLimit.NO_ENDPOINT
        return Choice(best, least_cost, True, False,
                      endpoint_load.EndpointLoad(requests=1),
                      loads.get(best.name, _IDLE))

    def _choose_engine(
            self, request: service_request.ServiceRequest, usable: _Endpoints,
            candidates: _Endpoints) -> Choice | placement_limit.PlacementLimit:
        self._record_targets(request)
        parameters = self._find_service(request.service)
        pool = self._find_pool(request.service, usable)
        is_long = self._settings.is_long(request)
        preferred = pool.find_preferred_engine(
            request.prompt.prefix_key or request.request_id, is_long)
        holders = self._prefix_caches.list_holders(request) | {preferred}
        costs = prompt_cost.PromptCost(
            request, self._settings, self._table, self._loads, holders,
            pool.long_prompt_engines, self._find_cache_weight(request),
            self._find_size_weight(request), parameters.memory_tokens,
            self._find_partition(request.service).find_max_prefill_duration(
                parameters.event_tokens), self._waits_for_gap(request, is_long),
            self._find_pace(request.service), self._clock.monotonic())
        best, least_cost = None, math.inf
        limits: collections.Counter[placement_limit.PlacementLimit] = (
            collections.Counter())
        for each in pool.sample_engines(candidates, holders, is_long,
                                        self._settings.max_evaluated_engines,
                                        self._rng):
            cost = costs.find_cost(each)
            if isinstance(cost, placement_limit.PlacementLimit):
                limits[cost] += 1
            elif cost + self._find_base_cost(each) < least_cost:
                best, least_cost = each, cost + self._find_base_cost(each)
        if best is None:
            return (limits.most_common(1)[0][0]
                    if limits else placement_limit.PlacementLimit.NO_ENDPOINT)
        if costs.should_wait(best):
            return placement_limit.PlacementLimit.PREFILL
        if is_long:
            self._find_pace(request.service).record_request(
                request, self._clock.monotonic(),
                costs.find_added_load(best).prefill_tokens)
        return self._make_choice(best, least_cost, best.name == preferred,
                                 best.name in holders,
                                 costs.find_added_load(best), best.name
                                 in pool.long_prompt_engines)

    def _make_choice(self, engine: endpoint_module.Endpoint, cost: float,
                     is_preferred: bool, is_cached: bool,
                     added: endpoint_load.EndpointLoad,
                     takes_long_prompts: bool) -> Choice:
        known = self._loads.find_load(engine.name)
        profile = self._table.find_profile(engine.service, engine.incarnation)
        return Choice(
            engine, cost, is_preferred, is_cached, added, known,
            profile.estimate_first_token(
                known.prefill_tokens + added.prefill_tokens, known.requests),
            profile.slowdown, takes_long_prompts,
            self._loads.measure_use(engine.name).prefill_share)

    def _record_targets(self, request: service_request.ServiceRequest) -> None:
        """Tells the partition which targets interactive streams have.

        A VM may have started before the first interactive stream.
        """
        partition = self._find_partition(request.service)
        if self._settings.is_interactive(request):
            partition.record_inter_event_target(request.inter_event_target)
        target = self._find_service(request.service).shortest_inter_event_target
        if (target is not None and
                target <= self._settings.max_interactive_interval):
            partition.record_inter_event_target(target)

    def _find_cache_weight(self,
                           request: service_request.ServiceRequest) -> float:
        """Returns the weight of the delay that a cache miss causes for others.

        It falls from 1 to 0 while the request waits.
        """
        return self._find_weight(request, self._settings.affinity_targets)

    def _find_size_weight(self,
                          request: service_request.ServiceRequest) -> float:
        """Returns the weight of a request's own tokens in an engine's limits.

        It falls from 1 to 0 while the request waits. Without this aging, a
        large prompt would need a nearly idle engine, and smaller ones that
        came later would take each gap. Batch schedulers prevent the same
        starvation by reservations [1]_.

        References:
            .. [1] D. A. Lifka, "The ANL/IBM SP scheduling system", JSSPP 1995.
        """
        return self._find_weight(request, self._settings.aging_targets)

    def _find_weight(self, request: service_request.ServiceRequest,
                     targets: float) -> float:
        """Returns a weight that falls from 1 to 0 while a request waits.

        Args:
            request: The request.
            targets: Time until it is 0, in multiples of the first-byte target.
        """
        waited = self._clock.monotonic() - request.arrived_at
        limit = request.first_byte_target * targets
        return max(0.0, 1.0 - waited / limit) if limit else 0.0

    def _waits_for_gap(self, request: service_request.ServiceRequest,
                       is_long: bool) -> bool:
        """Returns whether a request waits for a gap in an engine's prefill.

        A short prompt does not prolong the prefill much. It waits only as long
        as its own response can still be on time, and is not refused for want
        of a gap.
        """
        return is_long or not self._has_waited(
            request, self._settings.max_gap_wait_targets)

    def _has_waited(self, request: service_request.ServiceRequest,
                    targets: float) -> bool:
        waited = self._clock.monotonic() - request.arrived_at
        return waited >= request.first_byte_target * targets

    def _find_base_cost(self, endpoint: endpoint_module.Endpoint) -> float:
        cost = (self._health.find_failure_rate(endpoint.name) *
                self._settings.failure_cost)
        if endpoint.zone != self._zone:
            cost += self._settings.zone_cost
        return cost
