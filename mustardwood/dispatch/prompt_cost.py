"""Cost of a request on each engine."""

import collections.abc
import datetime

from mustardwood import profiles
from mustardwood.dispatch import decode_pace
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import engine_limits
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import service_request

_IDLE = endpoint_load.EndpointLoad()


class PromptCost:
    """Computes the cost of one request on many engines.

    Load pattern: during a burst, every waiting request is evaluated on all
    engines again and again, so the values that do not depend on the engine are
    computed once.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 settings: placement_settings.PlacementSettings,
                 profile_table: profiles.ProfileTable,
                 table: load_table.LoadTable, holders: collections.abc.Set[str],
                 long_prompt_engines: collections.abc.Set[str],
                 cache_weight: float, size_weight: float, memory_tokens: int,
                 max_prefill_duration: datetime.timedelta | None,
                 waits_for_gap: bool, pace: decode_pace.DecodePace,
                 now: datetime.timedelta) -> None:
        """Computes the values that are the same for all engines.

        Args:
            request: The request.
            settings: Weights of the costs.
            profile_table: Speed of the engines.
            table: Load of the engines.
            holders: Names of the engines that probably have the shared prefix
                in their cache.
            long_prompt_engines: Names of the engines that take long prompts.
            cache_weight: Weight, from 0 to 1, of the delay that prefilling the
                shared prefix again causes for others.
            size_weight: Weight, from 0 to 1, of the part of the request's size
                that counts in the limits of an engine's prefill only at first.
            memory_tokens: Size of an engine's KV cache in tokens; 0 if unknown.
            max_prefill_duration: Maximum continuous prefill of an engine with
                interactive streams; None for no limit.
            waits_for_gap: Whether the request waits for a gap in a continuous
                prefill that has reached this maximum.
            pace: Pace that the service's streams need.
            now: Monotonic time.
        """
        prompt = request.prompt
        self._request = request
        self._settings = settings
        self._table = table
        self._loads = table.list_total_loads()
        self._holders = holders
        self._long_prompt_engines = long_prompt_engines
        self._is_long = settings.is_long(request)
        self._is_interactive = settings.is_interactive(request)
        self._shared_tokens = prompt.shared_tokens
        self._own_tokens = prompt.input_tokens - self._shared_tokens
        self._first_byte_target = request.first_byte_target.total_seconds()
        self._profile_table = profile_table
        self._cache_miss_streams = settings.cache_miss_streams * cache_weight
        self._stream_cost = (settings.long_prompt_stream_cost
                             if self._is_long else settings.stream_cost)
        self._size_weight = size_weight
        self._limits = engine_limits.EngineLimits.from_settings(
            settings, request.urgency)
        self._max_prefill_duration = max_prefill_duration
        self._waits_for_gap = waits_for_gap
        self._pace = pace
        self._now = now
        self._memory_limit = memory_tokens * self._limits.memory_share

    def find_cost(
        self, endpoint: endpoint_module.Endpoint
    ) -> float | placement_limit.PlacementLimit:
        """Returns the cost of the request on an engine.

        Returns:
            Expected seconds to the first token, plus the delay caused for
            other requests; the limit that was reached if the engine has no
            room.
        """
        settings = self._settings
        load = self._loads.get(endpoint.name, _IDLE)
        if load.requests >= self._limits.find_max_requests(endpoint.slots):
            return placement_limit.PlacementLimit.SLOTS
        if self._disturbs_reserved_engine(endpoint, load):
            return placement_limit.PlacementLimit.RESERVED
        missing = 0 if endpoint.name in self._holders else self._shared_tokens
        tokens = self._own_tokens + missing
        if (self._memory_limit and load.requests and
                load.held_tokens + tokens + self._request.prompt.output_tokens
                > self._memory_limit):
            return placement_limit.PlacementLimit.MEMORY
        profile = self._find_profile(endpoint)
        prefill_rate = profile.prefill_rate
        cost = ((load.prefill_tokens + tokens +
                 self._cache_miss_streams * missing) / prefill_rate +
                load.requests * self._stream_cost * profile.slowdown)
        if load.requests >= endpoint.slots:
            cost += (settings.queue_cost * (load.requests + 1) /
                     max(1, endpoint.slots))
        takes_long_prompts = endpoint.name in self._long_prompt_engines
        if self._is_long and not takes_long_prompts:
            cost += (settings.mixing_cost * load.interactive_streams * tokens /
                     prefill_rate)
            cost += settings.reserved_engine_targets * self._first_byte_target
        elif takes_long_prompts and self._is_interactive:
            cost += settings.mixing_cost
        if self._exceeds_prefill_limit(endpoint, load, tokens):
            cost += settings.prefill_gap_cost
        return cost

    def find_added_load(
            self,
            endpoint: endpoint_module.Endpoint) -> endpoint_load.EndpointLoad:
        """Returns the load that the request adds to an engine."""
        missing = 0 if endpoint.name in self._holders else self._shared_tokens
        tokens = self._own_tokens + missing
        return endpoint_load.EndpointLoad(
            prefill_tokens=tokens,
            requests=1,
            interactive_streams=int(self._is_interactive),
            held_tokens=tokens + self._request.prompt.output_tokens)

    def should_wait(self, endpoint: endpoint_module.Endpoint) -> bool:
        """Returns whether the request should wait instead of being sent.

        It waits if the engine already has as much prefill as it should have.
        """
        load = self._loads.get(endpoint.name, _IDLE)
        added_tokens = self.find_added_load(endpoint).prefill_tokens
        if (self._waits_for_gap and
                self._exceeds_prefill_limit(endpoint, load, added_tokens)):
            return True
        if self._is_long and self._delays_streams(endpoint, load):
            return True
        if not self._is_long or not load.prefill_tokens:
            return False
        rate = self._find_profile(endpoint).prefill_rate
        return (load.prefill_tokens + self._find_aged_size(added_tokens, rate)
                > self._limits.find_max_prefill(rate))

    def _find_aged_size(self, tokens: int, prefill_rate: float) -> float:
        """Returns as how many tokens the request counts in prefill limits.

        Args:
            tokens: Number of tokens that an engine prefills for it.
            prefill_rate: Prompt tokens that the engine prefills per second.
        """
        aged = min(tokens, self._limits.find_max_aged_prefill(prefill_rate))
        return aged + self._size_weight * (tokens - aged)

    def _find_profile(
            self, endpoint: endpoint_module.Endpoint) -> profiles.EngineProfile:
        return self._profile_table.find_profile(endpoint.service,
                                                endpoint.incarnation)

    def _disturbs_reserved_engine(self, endpoint: endpoint_module.Endpoint,
                                  load: endpoint_load.EndpointLoad) -> bool:
        """Returns whether a long prompt would disturb a reserved engine.

        Load pattern: during a burst, some of the engines for long prompts crash
        and the rest have no memory left. A long prompt on a reserved engine
        would delay all streams there, while crashed engines are back after a
        moment, so the prompt waits instead.
        """
        return (self._is_long and
                endpoint.name not in self._long_prompt_engines and
                load.interactive_streams > self._settings.tolerated_streams)

    def _delays_streams(self, endpoint: endpoint_module.Endpoint,
                        load: endpoint_load.EndpointLoad) -> bool:
        """Returns whether streams on an engine would miss their deadlines."""
        if not load.requests:
            return False
        share = self._table.measure_use(endpoint.name).prefill_share
        return share > self._pace.find_max_prefill_share(
            self._request, self._now, self._find_profile(endpoint),
            load.requests + 1, load.held_tokens, endpoint.slots)

    def _exceeds_prefill_limit(self, endpoint: endpoint_module.Endpoint,
                               load: endpoint_load.EndpointLoad,
                               added_tokens: int) -> bool:
        """Returns whether one more prompt would make the prefill too long.

        It would if the engine has interactive streams and would then prefill
        continuously for longer than `max_prefill_duration`.
        """
        settings = self._settings
        if (self._max_prefill_duration is None or
                not load.interactive_streams or
                load.prefill_tokens < settings.chunk_tokens):
            return False
        rate = self._find_profile(endpoint).prefill_rate
        remaining = (load.prefill_tokens +
                     self._find_aged_size(added_tokens, rate)) / rate
        duration = self._table.find_prefill_duration(
            endpoint.name).total_seconds() + remaining
        return duration > (self._max_prefill_duration.total_seconds() *
                           self._limits.prefill_duration_factor)
