"""The refusal of an ask by a scheduler."""

import datetime

import msgspec

from mustardwood.messages import refusal_reason


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """Informs an entry that an ask is not granted.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt, from 1.
        cell: Name of the cell.
        reason: Why the ask is refused. After `STOPPING` and `UNKNOWN_CELL` the
            entry tries another owner of the cell; the others are final.
        retry_after: Time after which the caller should retry.
        explanation: A sentence for ``mustardwood explain``.
    """

    request_id: str
    attempt: int
    cell: str
    reason: refusal_reason.RefusalReason
    retry_after: datetime.timedelta
    explanation: str = ""
