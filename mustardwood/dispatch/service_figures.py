"""What the configuration tells of a service's endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ServiceFigures:
    """Sizes of each endpoint of a service.

    Attributes:
        name: Name of the service.
        memory_tokens: Tokens that fit an engine's memory; 0 if unknown.
    """

    name: str
    memory_tokens: int = 0
