"""The choice of an endpoint for a request."""

import collections.abc
import dataclasses
import hashlib

from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_health
from mustardwood.dispatch import general_request
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings
from mustardwood.dispatch import prefix_memory

_DIGEST_BYTES = 8
_FAILURE_COST = 2.0
"""Seconds that an endpoint counts more if all its recent answers failed."""
_QUEUE_COST = 1.0
"""Seconds of wait for each full batch of requests ahead."""
_STREAM_COST = 0.004
"""Seconds that each running stream slows a new one's answer."""
_HARM_COST = 0.1
"""Weight of the delay that a prefill puts on each brisk stream."""

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


@dataclasses.dataclass(frozen=True)
class Choice:
    """An endpoint and what decided for it.

    Attributes:
        endpoint: The endpoint.
        cost: Expected seconds, with the harm to others.
        is_cached: Whether it is believed to hold the shared parts.
        prefill_tokens: Prompt tokens that it is expected to read.
    """

    endpoint: endpoint_module.Endpoint
    cost: float
    is_cached: bool
    prefill_tokens: int


class Placement:
    """Chooses the endpoint with the least expected cost.

    Load patterns: long prompts stall the tokens of every stream beside them,
    so they are kept on one end of a ranking of the engines that all VMs share;
    requests that share a prompt go to the same engine by rendezvous hashing
    [1]_ until the wait there costs more than reading the parts again.

    References:
        .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to
           increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
    """

    def __init__(self, zone: str, loads: load_table.LoadTable,
                 health: endpoint_health.EndpointHealth,
                 memory: prefix_memory.PrefixMemory,
                 settings: placement_settings.PlacementSettings) -> None:
        self._zone = zone
        self._loads = loads
        self._health = health
        self._memory = memory
        self._settings = settings

    def choose(self, request: general_request.GeneralRequest,
               usable: _Endpoints,
               tried: collections.abc.Set[str]) -> Choice | None:
        """Returns the choice among the endpoints that were not tried yet.

        Args:
            request: The request.
            usable: Endpoints of its service that take new work.
            tried: Names of the endpoints that it was sent to.
        """
        left = [each for each in usable if each.name not in tried]
        reachable = [
            each for each in left if not self._health.is_avoided(each.name)
        ]
        candidates = reachable or left
        if not candidates:
            return None
        if not request.prompt.input_tokens:
            return min((self._weigh_plain(each) for each in candidates),
                       key=lambda choice: choice.cost)
        homes = self._find_homes(request, usable)
        return min(
            (self._weigh_prompt(request, each, homes) for each in candidates),
            key=lambda choice: choice.cost)

    def _weigh_plain(self, endpoint: endpoint_module.Endpoint) -> Choice:
        load = self._loads.find_load(endpoint.name)
        cost = load.places / max(1, endpoint.slots) + self._base(endpoint)
        return Choice(endpoint, cost, False, 0)

    def _weigh_prompt(self, request: general_request.GeneralRequest,
                      endpoint: endpoint_module.Endpoint,
                      homes: _Endpoints) -> Choice:
        load = self._loads.find_load(endpoint.name)
        rate = self._settings.prefill_rate
        prompt = request.prompt
        is_home = bool(homes) and endpoint is homes[0]
        cached = is_home or self._memory.holds(endpoint.name, request)
        tokens = prompt.input_tokens - (prompt.shared_tokens if cached else 0)
        cost = (load.prefill_tokens + tokens) / rate
        cost += load.places * _STREAM_COST
        if load.places >= endpoint.slots:
            cost += _QUEUE_COST * (load.places + 1) / max(1, endpoint.slots)
        if self._is_long(request):
            if endpoint not in homes:
                cost += _HARM_COST * load.brisk_streams * tokens / rate
                cost += request.first_byte_aim.total_seconds() / 4
        return Choice(endpoint, cost + self._base(endpoint), cached, tokens)

    def _base(self, endpoint: endpoint_module.Endpoint) -> float:
        cost = self._health.failure_share(endpoint.name) * _FAILURE_COST
        if endpoint.zone != self._zone:
            cost += self._settings.zone_cost
        return cost

    def _is_long(self, request: general_request.GeneralRequest) -> bool:
        return request.prompt.input_tokens >= self._settings.long_prompt

    def _find_homes(self, request: general_request.GeneralRequest,
                    usable: _Endpoints) -> list[endpoint_module.Endpoint]:
        """Ranks the endpoints that should read a prompt, first choice first."""
        pool = sorted(usable, key=lambda each: _hash("pool", each.name))
        if self._is_long(request):
            count = max(1, round(self._settings.long_share * len(pool)))
            pool = pool[:count]
        subject = request.prompt.subject or request.request_id
        return sorted(pool, key=lambda each: _hash(subject, each.name))


def _hash(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}\0{name}".encode(),
                           digest_size=_DIGEST_BYTES).digest()
