"""A scheduler's permission to use an endpoint."""

import datetime

import msgspec


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Lets an entry run one attempt on one endpoint.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        cell: Name of the cell.
        endpoint: Name of the endpoint.
        priority: Priority to give to the engine; 0 is the most urgent.
        queue_delay: Present delay of the cell's queue, for the choice of cell.
        reason: Why this endpoint and now, for ``mustardwood explain``.
    """

    request_id: str
    attempt: int
    cell: str
    endpoint: str
    priority: int
    queue_delay: datetime.timedelta = datetime.timedelta()
    reason: str = ""
