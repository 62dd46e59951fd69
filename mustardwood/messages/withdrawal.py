"""The end of an ask before its grant."""

import msgspec


class Withdrawal(msgspec.Struct, frozen=True, tag="withdrawal"):
    """Tells a scheduler that an ask is no longer wanted, or a grant not used.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        cell: Name of the cell.
    """

    request_id: str
    attempt: int
    cell: str
