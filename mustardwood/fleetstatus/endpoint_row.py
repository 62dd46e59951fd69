"""The status of an endpoint."""

import msgspec

from mustardwood.fleetstatus import endpoint_at_scheduler


class EndpointRow(msgspec.Struct, frozen=True):
    """The status of an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        serves: Model or service that it serves.
        zone: Availability zone.
        region: Region.
        state: State that operators set in the configuration: ``active`` or
            ``leaving``.
        leaving: Whether the platform's list marks its VM as leaving.
        concurrency: Configured maximum number of concurrent requests.
        schedulers: State of the endpoint at each scheduler.
    """

    endpoint: str
    serves: str
    zone: str
    region: str
    state: str
    leaving: bool
    concurrency: int
    schedulers: tuple[endpoint_at_scheduler.EndpointAtScheduler, ...] = ()
