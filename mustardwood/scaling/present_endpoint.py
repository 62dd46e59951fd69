"""A registered endpoint, as far as it matters to the planner."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PresentEndpoint:
    """A registered endpoint.

    Attributes:
        zone: Its availability zone.
        is_preemptible: Whether the availability zone may reclaim it.
        is_draining: Whether it accepts no new requests and will leave.
        version: Version of its software.
    """

    zone: str
    is_preemptible: bool = False
    is_draining: bool = False
    version: str = ""
