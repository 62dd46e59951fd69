"""The choice of an endpoint for a request."""

import collections.abc
import dataclasses
import math
import random

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import engine_partition
from mustardwood.dispatch import engine_pool
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import prefix_cache_index
from mustardwood.dispatch import prompt_cost
from mustardwood.dispatch import service_parameters
from mustardwood.dispatch import service_request

_IDLE = endpoint_load.EndpointLoad()

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint and what decided for it.

    Attributes:
        endpoint: The endpoint.
        cost: Expected seconds, with the harm to others.
        is_home: Whether all VMs expect the prompt's subject there.
        is_cached: Whether it is believed to hold the shared parts.
        load: The work that the request adds there.
    """

    endpoint: endpoint_module.Endpoint
    cost: float
    is_preferred: bool
    is_cached: bool
    load: endpoint_load.EndpointLoad


class Placement:
    """Chooses the endpoint with the least expected cost.

    Load patterns: long prompts stall the tokens of every stream beside them,
    so they are kept on one end of a ranking of the engines that all VMs share
    (`EngineSplit`); requests that share a prompt go to the same engine by
    rendezvous hashing [1]_ until the wait there costs more than reading the
    parts again; in a rush, engines are filled to their slots and memory, and
    what is beyond them is refused instead of queued.

    References:
        .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def __init__(self, zone: str, clock: timing.Clock,
                 loads: load_table.LoadTable,
                 health: endpoint_health.EndpointHealth,
                 prefix_caches: prefix_cache_index.PrefixCacheIndex,
                 settings: placement_settings.PlacementSettings,
                 find_service: collections.abc.Callable[
                     [str], service_parameters.ServiceParameters],
                 rng: random.Random) -> None:
        self._zone = zone
        self._clock = clock
        self._loads = loads
        self._health = health
        self._prefix_caches = prefix_caches
        self._splits: dict[str, engine_partition.EnginePartition] = {}
        self._settings = settings
        self._find_service = find_service
        self._rng = rng
        self._pools: dict[str, engine_pool.EnginePool] = {}

    def choose(self, request: service_request.ServiceRequest,
               usable: _Endpoints,
               tried: collections.abc.Set[str]) -> Choice | None:
        """Returns the choice among the endpoints that were not tried yet.

        A long prompt waits for the engine that suits it best rather than go
        to another one that has room, until it has waited long.

        Args:
            request: The request.
            usable: Endpoints of its service that take new work.
            tried: Names of the endpoints that it was sent to.

        Returns:
            The choice; None if no endpoint is left or none has room.
        """
        left = ([each for each in usable if each.name not in tried]
                if tried else usable)
        avoided = self._health.list_avoided()
        reachable = ([each for each in left if each.name not in avoided]
                     if avoided else left)
        candidates = reachable or left
        if not request.prompt.input_tokens:
            return self._choose_plain(candidates)
        return self._choose_engine(request, usable, candidates)

    def find_long_prompt_engines(self, service: str,
                                 usable: _Endpoints) -> frozenset[str]:
        """Returns the names of the engines that take long prompts."""
        return self._find_split(service).find_long_prompt_engines(
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

    def _find_split(self, service: str) -> engine_partition.EnginePartition:
        split = self._splits.get(service)
        if split is None:
            split = engine_partition.EnginePartition(self._clock, self._loads,
                                                     self._settings)
            self._splits[service] = split
        return split

    def _choose_plain(self, candidates: _Endpoints) -> Choice | None:
        loads = self._loads.list_total_loads()
        best, least = None, math.inf
        for each in candidates:
            load = loads.get(each.name, _IDLE)
            cost = load.requests / max(1, each.slots) + self._base(each)
            if cost < least:
                best, least = each, cost
        if best is None:
            return None
        return Choice(best, least, True, False,
                      endpoint_load.EndpointLoad(requests=1))

    def _choose_engine(self, request: service_request.ServiceRequest,
                       usable: _Endpoints,
                       candidates: _Endpoints) -> Choice | None:
        if self._settings.is_interactive(request):
            self._find_split(request.service).record_inter_event_target(
                request.inter_event_target)
        pool = self._find_pool(request.service, usable)
        is_long = self._settings.is_long(request)
        home = pool.find_preferred_engine(
            request.prompt.prefix_key or request.request_id, is_long)
        cached = self._prefix_caches.list_holders(request) | {home}
        figures = self._find_service(request.service)
        costs = prompt_cost.PromptCost(
            request, self._settings,
            self._loads, cached, pool.long_prompt_engines,
            self._find_reluctance(request), figures.memory_tokens,
            self._find_split(request.service).find_max_prefill_duration(
                figures.event_tokens))
        best, least = None, math.inf
        for each in pool.narrow(candidates, cached, is_long,
                                self._settings.max_evaluated_engines,
                                self._rng):
            cost = costs.find_cost(each)
            if cost is not None and cost + self._base(each) < least:
                best, least = each, cost + self._base(each)
        if best is None or costs.is_prefill_full(best):
            return None
        return Choice(best, least, best.name == home, best.name in cached,
                      costs.find_load(best))

    def _find_reluctance(self,
                         request: service_request.ServiceRequest) -> float:
        """Returns the share that the cost of reading again still counts."""
        waited = self._clock.monotonic() - request.arrived_at
        limit = request.first_byte_target * self._settings.cache_affinity_targets
        return max(0.0, 1.0 - waited / limit) if limit else 0.0

    def _base(self, endpoint: endpoint_module.Endpoint) -> float:
        cost = (self._health.find_failure_rate(endpoint.name) *
                self._settings.failure_cost)
        if endpoint.zone != self._zone:
            cost += self._settings.zone_cost
        return cost
