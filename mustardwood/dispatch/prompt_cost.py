"""What a prompt costs on each engine."""

import collections.abc
import datetime
import math

from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import service_request

_TIER_SHARES = (1.5, 1.0)
"""Places that tiers may fill, relative to an engine's slots.

What exceeds the slots waits in the engine's own queue, in order of tier; the
last figure holds for all tiers that follow.
"""
_REST_SHARE = 0.9
_IDLE = endpoint_load.EndpointLoad()


class PromptCost:
    """Weighs one request on many engines.

    Load pattern: in a rush each waiting request is weighed on all engines
    again and again, so what does not differ between engines is found once.
    """

    def __init__(self, request: service_request.ServiceRequest,
                 settings: placement_settings.PlacementSettings,
                 table: load_table.LoadTable, cached: collections.abc.Set[str],
                 long_prompt_engines: collections.abc.Set[str],
                 reluctance: float, memory_tokens: int,
                 max_prefill_duration: datetime.timedelta | None) -> None:
        """Prepares the weighing.

        Args:
            request: The request.
            settings: Figures of engines and weights.
            table: Work on the engines.
            cached: Names of the engines believed to hold the shared parts.
            long_engines: The engines that take long prompts.
            reluctance: Share that the cost of reading again still counts.
            memory_tokens: Memory of an engine; 0 if it is not known.
            longest_run: Time for which an engine with brisk streams may read
                prompts without a break; None for any.
        """
        prompt = request.prompt
        self._request = request
        self._settings = settings
        self._table = table
        self._loads = table.list_total_loads()
        self._cached = cached
        self._long_engines = long_prompt_engines
        self._is_long = settings.is_long(request)
        self._is_brisk = settings.is_interactive(request)
        self._shared = prompt.shared_tokens
        self._tokens = prompt.input_tokens - self._shared
        self._aim = request.first_byte_target.total_seconds()
        self._rereading = (settings.cache_miss_streams /
                           settings.prefill_rate) * reluctance
        self._stream_cost = (settings.long_prompt_stream_cost
                             if self._is_long else settings.stream_cost)
        self._share = (_TIER_SHARES[request.tier]
                       if request.tier < len(_TIER_SHARES) else _REST_SHARE)
        self._longest_run = max_prefill_duration
        self._memory_limit = memory_tokens * settings.memory_share

    def find_cost(self, endpoint: endpoint_module.Endpoint) -> float | None:
        """Returns expected seconds with the harm to others; None if full."""
        settings = self._settings
        load = self._loads.get(endpoint.name, _IDLE)
        if load.requests >= math.ceil(endpoint.slots * self._share):
            return None
        if self._intrudes(endpoint, load):
            return None
        again = 0 if endpoint.name in self._cached else self._shared
        tokens = self._tokens + again
        if (self._memory_limit and load.requests and
                load.held_tokens + tokens + self._request.prompt.output_tokens
                > self._memory_limit):
            return None
        cost = ((load.prefill_tokens + tokens) / settings.prefill_rate +
                self._rereading * again + load.requests * self._stream_cost)
        if load.requests >= endpoint.slots:
            cost += (settings.queue_cost * (load.requests + 1) /
                     max(1, endpoint.slots))
        takes_long = endpoint.name in self._long_engines
        if self._is_long and not takes_long:
            cost += (settings.mixing_cost * load.interactive_streams * tokens /
                     settings.prefill_rate)
            cost += settings.unreserved_preference_targets * self._aim
        elif takes_long and self._is_brisk:
            cost += settings.mixing_cost
        if self._stalls_streams(endpoint, load, tokens):
            cost += settings.prefill_gap_cost
        return cost

    def find_load(
            self,
            endpoint: endpoint_module.Endpoint) -> endpoint_load.EndpointLoad:
        """Returns the work that the request adds to an engine."""
        again = 0 if endpoint.name in self._cached else self._shared
        tokens = self._tokens + again
        return endpoint_load.EndpointLoad(
            prefill_tokens=tokens,
            requests=1,
            interactive_streams=int(self._is_brisk),
            held_tokens=tokens + self._request.prompt.output_tokens)

    def is_prefill_full(self, endpoint: endpoint_module.Endpoint) -> bool:
        """Returns whether the request should wait rather than go there."""
        load = self._loads.get(endpoint.name, _IDLE)
        added = self.find_load(endpoint).prefill_tokens
        if self._stalls_streams(endpoint, load, added):
            return True
        return (self._is_long and load.prefill_tokens > 0 and
                load.prefill_tokens + added > self._settings.max_prefill_tokens)

    def _intrudes(self, endpoint: endpoint_module.Endpoint,
                  load: endpoint_load.EndpointLoad) -> bool:
        """Returns whether a long prompt would delay brisk streams there.

        Load pattern: engines of long prompts crash in a rush, and the others
        have no memory left. Each prompt that goes elsewhere delays all streams
        there, while engines are back after a moment.
        """
        return (self._is_long and endpoint.name not in self._long_engines and
                load.interactive_streams > self._settings.tolerated_streams)

    def _stalls_streams(self, endpoint: endpoint_module.Endpoint,
                        load: endpoint_load.EndpointLoad, added: int) -> bool:
        """Returns whether one more prompt would leave streams no break."""
        settings = self._settings
        if (self._longest_run is None or not load.interactive_streams or
                load.prefill_tokens < settings.chunk_tokens):
            return False
        left = (load.prefill_tokens + added) / settings.prefill_rate
        run = self._table.find_prefill_duration(
            endpoint.name).total_seconds() + left
        return run > self._longest_run.total_seconds()
