"""Routes, which map callers' requests to services."""

import dataclasses
import datetime
import hashlib

from mustardwood.dispatch import retry_policy as retry_policy_module

_DIGEST_BYTES = 8


@dataclasses.dataclass(frozen=True)
class RouteTarget:
    """A service that receives a share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the route's other targets.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """The services and limits for requests of one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        path_prefix: Path prefix, which begins and ends with a slash.
        targets: Services that share the requests, at least one.
        tier: Priority of the requests; 0 is the most urgent.
        first_byte_target: Latency target for the first byte of a response.
        inter_event_target: Latency target between two events of a stream.
        time_limit: Maximum time from a request to the end of its response.
        retry_policy: Whether a request may run more than once.
        is_stream: Whether responses are streams of server-sent events.
        max_runs: Maximum number of endpoints on which a request may run.
        needs_key: Whether callers must send an API key.
    """

    name: str
    host: str
    path_prefix: str
    targets: tuple[RouteTarget, ...]
    tier: int
    first_byte_target: datetime.timedelta
    inter_event_target: datetime.timedelta
    time_limit: datetime.timedelta
    retry_policy: retry_policy_module.RetryPolicy
    is_stream: bool
    max_runs: int
    needs_key: bool

    def choose_service(self, request_id: str) -> str:
        """Returns the name of the service for a request.

        The request id is hashed, so that a request gets the same service at
        every VM.
        """
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(each.weight for each in self.targets)
        digest = hashlib.blake2b(request_id.encode(),
                                 digest_size=_DIGEST_BYTES).digest()
        remaining_weight = int.from_bytes(digest) / 2**(8 *
                                                        _DIGEST_BYTES) * total
        for each in self.targets:
            remaining_weight -= each.weight
            if remaining_weight < 0:
                return each.service
        return self.targets[-1].service
