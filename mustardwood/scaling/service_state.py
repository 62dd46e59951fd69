"""What is known of a service whose endpoints are planned."""

import collections.abc
import dataclasses

from mustardwood.scaling import present_endpoint
from mustardwood.scaling import scaling_parameters


@dataclasses.dataclass(frozen=True)
class ServiceState:
    """What is known of a service at one moment.

    Attributes:
        service: Name of the service.
        parameters: Limits and prices of its endpoints.
        demands: Estimated demand of all VMs by tier, in endpoints.
        busy_count: Number of endpoints that the requests in flight would fill.
        endpoints: The registered endpoints.
        is_complete: Whether the registrations and the reports of the other VMs
            are complete; nothing is ordered without that.
        pinned_count: Number of endpoints that the operator has set; None if
            the planner decides.
    """

    service: str
    parameters: scaling_parameters.ScalingParameters
    demands: collections.abc.Mapping[int, float]
    busy_count: float
    endpoints: tuple[present_endpoint.PresentEndpoint, ...]
    is_complete: bool = True
    pinned_count: int | None = None

    def list_zones(self) -> tuple[str, ...]:
        """Returns the availability zones, the cheapest first."""
        zones = set(self.parameters.zone_prices)
        zones.update(each.zone for each in self.endpoints if each.zone)
        return tuple(
            sorted(zones,
                   key=lambda each: (self.parameters.find_price(each), each)))
