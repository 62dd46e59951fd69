"""A route of callers' requests to a service."""

import dataclasses
import datetime
import hashlib

from mustardwood.dispatch import retry_policy as retry_policy_module

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True)
class Backend:
    """A service that gets a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """What holds for requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        path_prefix: Begins and ends with a slash.
        targets: Services, at least one.
        tier: Rank; 0 is the most urgent.
        first_byte_aim: Longest time to the first byte that is on time.
        piece_aim: Longest pause between pieces that is on time.
        time_limit: Longest time that a caller is kept waiting.
        retry_policy: What may be repeated.
        is_stream: Whether answers are streams of events.
        most_runs: Number of endpoints on which a request may run.
        needs_key: Whether callers show an API key.
    """

    name: str
    host: str
    path_prefix: str
    backends: tuple[Backend, ...]
    tier: int
    first_byte_target: datetime.timedelta
    inter_event_target: datetime.timedelta
    time_limit: datetime.timedelta
    retry_policy: retry_policy_module.RetryPolicy
    is_stream: bool
    max_runs: int
    needs_key: bool

    def choose_service(self, request_id: str) -> str:
        """Returns the service of a request, by the weights of the targets."""
        if len(self.backends) == 1:
            return self.backends[0].service
        total = sum(each.weight for each in self.backends)
        digest = hashlib.blake2b(request_id.encode(),
                                 digest_size=_DIGEST_BYTES).digest()
        point = int.from_bytes(digest) / 2**(8 * _DIGEST_BYTES) * total
        for each in self.backends:
            point -= each.weight
            if point < 0:
                return each.service
        return self.backends[-1].service
