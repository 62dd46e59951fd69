"""Parameters of a service's endpoints from the configuration."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServiceParameters:
    """Parameters that all endpoints of a service share.

    Attributes:
        name: Name of the service.
        memory_tokens: Number of tokens that fit into an engine's KV cache; 0 if
            unknown.
        event_tokens: Number of tokens in one event of a stream.
    """

    name: str
    memory_tokens: int = 0
    event_tokens: int = 1
