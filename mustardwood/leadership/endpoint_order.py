"""An order of endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class EndpointOrder:
    """The number of endpoints that a service shall have in a zone.

    Attributes:
        service: Name of the service.
        zone: Name of the availability zone.
        count: Number of endpoints of the kind; absolute, not a difference.
        is_preemptible: Whether the order is for preemptible endpoints, which
            the availability zone may reclaim, or for the others.
    """

    service: str
    zone: str
    count: int
    is_preemptible: bool
