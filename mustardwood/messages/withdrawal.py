"""The withdrawal of an ask or of an unused grant."""

import msgspec


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Cancels an ask, or returns a grant that the entry did not use.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
    """

    request_id: str
    attempt: int
    cell: str
