"""Identity of an engine whose speed is learned."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class ProfiledEngine:
    """An engine from one start to the next.

    Attributes:
        service: Name of its service.
        incarnation: Name of the endpoint with the time of its last start.
        version: Version of its software; empty if unknown.
    """

    service: str
    incarnation: str
    version: str = ""
