"""The outcome of an apply."""

import enum


class ApplyOutcome(enum.StrEnum):
    """How an apply ended.

    Attributes:
        APPLIED: The document was accepted, now or in an earlier call with the
            same apply id.
        LOST: Another document was accepted first; nothing was written.
        NOT_WRITTEN: Nothing was written, because the service was unavailable
            or the call timed out.
        UNKNOWN: The document may have been written, or a write may still take
            effect. A later apply with the same apply id finds out.
    """

    APPLIED = "applied"
    LOST = "lost"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"
