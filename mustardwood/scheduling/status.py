"""The status of a cell, for operators."""

import msgspec


class EndpointStatus(msgspec.Struct, frozen=True):
    """The status of an endpoint.

    Attributes:
        endpoint: Name.
        running: Attempts running there.
        limit: Concurrency limit in force.
        state: ``active``, ``leaving``, ``failing`` or ``straggling``.
    """

    endpoint: str
    running: int
    limit: int
    state: str


class CellStatus(msgspec.Struct, frozen=True):
    """The status of a cell.

    Attributes:
        cell: Name.
        queued: Requests that wait.
        running: Attempts that run.
        queue_delay_seconds: Expected wait of a new request of the lowest tier.
        endpoints: Its endpoints.
    """

    cell: str
    queued: int
    running: int
    queue_delay_seconds: float
    endpoints: tuple[EndpointStatus, ...]
