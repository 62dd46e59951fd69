"""An endpoint that runs requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One incarnation of an endpoint.

    Attributes:
        name: Its id.
        service: The service that it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Requests that it runs at once.
        is_leaving: Whether it announced that it takes no new work.
        started: Start of the incarnation in Unix milliseconds; 0 if unknown.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool = False
    started: int = 0
