"""Whether an endpoint takes new work."""

import enum


class EndpointState(enum.StrEnum):
    """An operator's mark on an endpoint."""

    ACTIVE = "active"
    LEAVING = "leaving"
