"""The endpoints that one order is about."""

import dataclasses


@dataclasses.dataclass(frozen=True, order=True)
class EndpointGroup:
    """The endpoints of a service in one availability zone, of one kind.

    Attributes:
        service: Name of the service.
        zone: Name of the availability zone.
        is_preemptible: Whether they are preemptible.
    """

    service: str
    zone: str
    is_preemptible: bool
