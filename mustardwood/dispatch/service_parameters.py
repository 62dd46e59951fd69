"""Parameters of a service's endpoints from the configuration."""

import dataclasses
import datetime

from mustardwood.scaling import scaling_parameters


@dataclasses.dataclass(frozen=True)
class ServiceParameters:
    """Parameters that all endpoints of a service share.

    Attributes:
        name: Name of the service.
        memory_tokens: Number of tokens that fit into an engine's KV cache; 0 if
            unknown.
        event_tokens: Number of tokens in one event of a stream.
        shortest_inter_event_target: Shortest latency target between two events
            of a stream on the service's routes; None without such routes.
        scaling: Limits and prices within which its endpoints are ordered; None
            if none are.
    """

    name: str
    memory_tokens: int = 0
    event_tokens: int = 1
    shortest_inter_event_target: datetime.timedelta | None = None
    scaling: scaling_parameters.ScalingParameters | None = None
