"""An endpoint that runs requests."""

import msgspec

from mustardwood.configuration import endpoint_state


class Endpoint(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One replica of a model or of a plain service.

    Attributes:
        name: Unique name.
        serves: Name of the model or service.
        url: Base URL, as in ``http://192.0.2.1:8000``.
        zone: Availability zone.
        region: Region.
        vm: Name of its VM in the platform's list; empty when not listed.
        concurrency: Upper bound on requests running at once.
        checks_fencing: Whether it refuses orders with an old fencing number.
        state: Whether it takes new work.
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
