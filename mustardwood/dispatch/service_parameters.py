"""What the configuration tells of a service's endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServiceParameters:
    """Sizes of each endpoint of a service.

    Attributes:
        name: Name of the service.
        memory_tokens: Tokens that fit an engine's memory; 0 if unknown.
        piece_tokens: Tokens in a piece of a stream.
    """

    name: str
    memory_tokens: int = 0
    event_tokens: int = 1
