"""The status of an endpoint."""

import msgspec

from mustardwood.fleetstatus import endpoint_at_scheduler


class EndpointRow(msgspec.Struct, frozen=True):
    """The status of an endpoint.

    Attributes:
        endpoint: Name.
        serves: Model or service.
        zone: Availability zone.
        region: Region.
        state: The operators' mark in the configuration.
        leaving: Whether the platform's list marks its VM as leaving.
        concurrency: Configured bound on requests running at once.
        schedulers: What the schedulers report of it.
    """

    endpoint: str
    serves: str
    zone: str
    region: str
    state: str
    leaving: bool
    concurrency: int
    schedulers: tuple[endpoint_at_scheduler.EndpointAtScheduler, ...] = ()
