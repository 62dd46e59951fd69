"""A permission of a scheduler to use an endpoint."""

import datetime

import msgspec


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Allows an entry to run one attempt on one endpoint.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
        endpoint: Name of the endpoint.
        priority: Priority to send to the engine; 0 is the most urgent.
        queue_delay: Estimated delay of the cell's queue, which entries use to
            choose between cells.
        reason: Why the endpoint was granted at this time, for ``mustardwood
            explain``.
    """

    request_id: str
    attempt: int
    cell: str
    endpoint: str
    priority: int
    queue_delay: datetime.timedelta = datetime.timedelta()
    reason: str = ""
