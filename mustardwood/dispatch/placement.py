"""The choice of an endpoint for a request."""

import collections.abc
import dataclasses
import hashlib
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import engine_split
from mustardwood.dispatch import general_request
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import prefix_memory
from mustardwood.dispatch import service_figures

_DIGEST_BYTES = 8
_TIER_SHARES = (1.5, 1.0)
"""Places that tiers may fill, relative to an engine's slots.

What exceeds the slots waits in the engine's own queue, in order of tier; the
last figure holds for all tiers that follow.
"""
_REST_SHARE = 0.9

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
    is_home: bool
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

    def __init__(
        self, zone: str, clock: timing.Clock, loads: load_table.LoadTable,
        health: endpoint_health.EndpointHealth,
        memory: prefix_memory.PrefixMemory,
        settings: placement_settings.PlacementSettings,
        find_service: collections.abc.Callable[[str],
                                               service_figures.ServiceFigures]
    ) -> None:
        self._zone = zone
        self._clock = clock
        self._loads = loads
        self._health = health
        self._memory = memory
        self._splits: dict[str, engine_split.EngineSplit] = {}
        self._settings = settings
        self._find_service = find_service

    def choose(self, request: general_request.GeneralRequest,
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
        left = [each for each in usable if each.name not in tried]
        reachable = [
            each for each in left if not self._health.is_avoided(each.name)
        ]
        candidates = reachable or left
        if not request.prompt.input_tokens:
            choices = [self._weigh_plain(each) for each in candidates]
        else:
            choices = self._weigh_prompts(request, usable, candidates)
        best = min(choices, key=lambda choice: choice.cost, default=None)
        if best is not None and self._is_prefill_full(request, best):
            return None
        return best

    def is_long(self, request: general_request.GeneralRequest) -> bool:
        """Returns whether a prompt stalls the streams beside it."""
        return request.prompt.input_tokens >= self._settings.long_prompt

    def is_brisk(self, request: general_request.GeneralRequest) -> bool:
        """Returns whether a request's stream is stalled by long prompts."""
        return (request.is_stream and not self.is_long(request) and
                request.piece_aim <= self._settings.brisk_aim)

    def find_long_engines(self, service: str,
                          usable: _Endpoints) -> frozenset[str]:
        """Returns the names of the engines that take long prompts."""
        return self._find_split(service).find_long_engines(
            usable,
            self._find_service(service).piece_tokens)

    def _find_split(self, service: str) -> engine_split.EngineSplit:
        split = self._splits.get(service)
        if split is None:
            split = engine_split.EngineSplit(self._clock, self._loads,
                                             self._settings)
            self._splits[service] = split
        return split

    def _weigh_plain(self, endpoint: endpoint_module.Endpoint) -> Choice:
        load = self._loads.find_load(endpoint.name)
        cost = load.places / max(1, endpoint.slots) + self._base(endpoint)
        return Choice(endpoint, cost, True, False,
                      endpoint_load.EndpointLoad(places=1))

    def _weigh_prompts(self, request: general_request.GeneralRequest,
                       usable: _Endpoints,
                       candidates: _Endpoints) -> list[Choice]:
        figures = self._find_service(request.service)
        if self.is_brisk(request):
            self._find_split(request.service).note_brisk_aim(request.piece_aim)
        long_engines = self.find_long_engines(request.service, usable)
        home = self._find_home(request, usable, long_engines)
        choices = []
        for each in candidates:
            choice = self._weigh_prompt(request, each, home, long_engines)
            if self._has_room(request, choice, figures):
                choices.append(choice)
        return choices

    def _weigh_prompt(self, request: general_request.GeneralRequest,
                      endpoint: endpoint_module.Endpoint, home: str,
                      long_engines: collections.abc.Set[str]) -> Choice:
        settings, prompt = self._settings, request.prompt
        load = self._loads.find_load(endpoint.name)
        cached = (endpoint.name == home or
                  self._memory.holds(endpoint.name, request))
        again = 0 if cached else prompt.shared_tokens
        tokens = prompt.input_tokens - prompt.shared_tokens + again
        rate = settings.prefill_rate
        aim = request.first_byte_aim.total_seconds()
        cost = (load.prefill_tokens + tokens) / rate
        cost += (settings.rereading_streams * again / rate *
                 self._find_reluctance(request))
        cost += load.places * (settings.long_stream_cost if
                               self.is_long(request) else settings.stream_cost)
        if load.places >= endpoint.slots:
            cost += (settings.queue_cost * (load.places + 1) /
                     max(1, endpoint.slots))
        takes_long = endpoint.name in long_engines
        if self.is_long(request) and not takes_long:
            cost += settings.mixing_cost * load.brisk_streams * tokens / rate
            cost += settings.intrusion_aims * aim
        elif takes_long and self.is_brisk(request):
            cost += settings.mixing_cost
        return Choice(
            endpoint, cost + self._base(endpoint), endpoint.name == home,
            cached,
            endpoint_load.EndpointLoad(
                prefill_tokens=tokens,
                places=1,
                brisk_streams=int(self.is_brisk(request)),
                held_tokens=tokens + prompt.output_tokens))

    def _is_prefill_full(self, request: general_request.GeneralRequest,
                         choice: Choice) -> bool:
        if not self.is_long(request):
            return False
        load = self._loads.find_load(choice.endpoint.name)
        filled = load.prefill_tokens + choice.load.prefill_tokens
        return load.prefill_tokens > 0 and filled > self._settings.most_prefill

    def _find_reluctance(self,
                         request: general_request.GeneralRequest) -> float:
        """Returns the share that the cost of reading again still counts."""
        waited = self._clock.monotonic() - request.arrived
        limit = request.first_byte_aim * self._settings.moving_aims
        return max(0.0, 1.0 - waited / limit) if limit else 0.0

    def _has_room(self, request: general_request.GeneralRequest, choice: Choice,
                  figures: service_figures.ServiceFigures) -> bool:
        load = self._loads.find_load(choice.endpoint.name)
        share = (_TIER_SHARES[request.tier]
                 if request.tier < len(_TIER_SHARES) else _REST_SHARE)
        if load.places >= math.ceil(choice.endpoint.slots * share):
            return False
        if not figures.memory_tokens or not load.places:
            return True
        filled = load.held_tokens + choice.load.held_tokens
        return filled <= figures.memory_tokens * self._settings.memory_share

    def _base(self, endpoint: endpoint_module.Endpoint) -> float:
        cost = (self._health.failure_share(endpoint.name) *
                self._settings.failure_cost)
        if endpoint.zone != self._zone:
            cost += self._settings.zone_cost
        return cost

    def _find_home(self, request: general_request.GeneralRequest,
                   usable: _Endpoints,
                   long_engines: collections.abc.Set[str]) -> str:
        """Returns the endpoint that should read a prompt."""
        is_long = self.is_long(request)
        pool = [
            each for each in usable if (each.name in long_engines) == is_long
        ] or usable
        subject = request.prompt.subject or request.request_id
        return max(pool, key=lambda each: _hash(subject, each.name)).name


def _hash(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
