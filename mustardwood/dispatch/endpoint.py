"""Endpoints, which run requests."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint from one start to the next.

    Attributes:
        name: Id of the endpoint.
        service: Name of the service that it belongs to.
        host: IP address.
        port: TCP port.
        zone: Availability zone.
        slots: Number of requests that it runs concurrently.
        is_leaving: Whether it announced that it accepts no new requests.
        started: Time of its last start in Unix milliseconds; 0 if unknown.
        version: Version of its software; empty if unknown.
        is_preemptible: Whether its availability zone may reclaim it.
        leaves_after: Time from the writing of the registration until the
            endpoint leaves; None if the registration names none.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    is_leaving: bool = False
    started: int = 0
    version: str = ""
    is_preemptible: bool = False
    leaves_after: datetime.timedelta | None = None

    @property
    def incarnation(self) -> str:
        """Name with the time of the last start.

        An endpoint may start again under the name that it had.
        """
        return f"{self.name}/{self.started}"
