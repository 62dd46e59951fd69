"""An endpoint that runs requests."""

import msgspec

from mustardwood.configuration import endpoint_state


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a model or of a service.

    Attributes:
        name: Unique name of the endpoint.
        serves: Name of the model or service.
        url: Base URL, as in ``http://192.0.2.1:8000``.
        zone: Availability zone.
        region: Region.
        vm: Name of its VM in the platform's list; empty if it isn't listed.
        concurrency: Maximum number of concurrent requests.
        checks_fencing: Whether the endpoint rejects requests with an outdated
            fencing number.
        state: Whether the endpoint gets new requests.
    """

    name: str
    serves: str
    url: str
    zone: str
    region: str
    vm: str = ""
    concurrency: int = 16
    checks_fencing: bool = False
    state: endpoint_state.EndpointState = endpoint_state.EndpointState.ACTIVE
