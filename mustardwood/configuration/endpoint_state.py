"""Whether an endpoint gets new requests."""

import enum


class EndpointState(enum.StrEnum):
    """The state that operators give to an endpoint.

    An `ACTIVE` endpoint gets new requests. A `LEAVING` one only completes those
    that it is running.
    """

    ACTIVE = "active"
    LEAVING = "leaving"
