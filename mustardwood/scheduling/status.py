"""Status of a cell, for operators."""

import msgspec


class EndpointStatus(msgspec.Struct, frozen=True):
    """The status of an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        running: Number of running attempts.
        limit: Number of attempts that may run at once now.
        state: ``active``, ``leaving``, ``failing`` or ``straggling``.
    """

    endpoint: str
    running: int
    limit: int
    state: str


class CellStatus(msgspec.Struct, frozen=True):
    """The status of a cell.

    Attributes:
        cell: Name of the cell.
        queued: Number of waiting requests.
        running: Number of running attempts.
        queue_delay_seconds: Expected time in the queue of a new request of the
            lowest tier.
        endpoints: Status of each endpoint.
    """

    cell: str
    queued: int
    running: int
    queue_delay_seconds: float
    endpoints: tuple[EndpointStatus, ...]
