"""A scheduler's refusal."""

import datetime

import msgspec

from mustardwood.messages import refusal_reason


class Refusal(msgspec.Struct, frozen=True, tag="refusal"):
    """Tells an entry that an ask gets no grant.

    Attributes:
        request_id: Id of the request.
        attempt: Number of the attempt.
        cell: Name of the cell.
        reason: Kind of refusal. ``STOPPING`` and ``UNKNOWN_CELL`` ask the
            entry to try another owner; the others are final.
        retry_after: When the caller should come back.
        explanation: One sentence for ``mustardwood explain``.
    """

    request_id: str
    attempt: int
    cell: str
    reason: refusal_reason.RefusalReason
    retry_after: datetime.timedelta
    explanation: str = ""
