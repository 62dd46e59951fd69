"""What became of an apply."""

import enum


class ApplyOutcome(enum.StrEnum):
    """The end of an apply.

    Attributes:
        APPLIED: The document was accepted, now or by an earlier call with the
            same apply id.
        LOST: Another document was accepted first; nothing was written.
        NOT_WRITTEN: The service was unavailable; nothing was written.
        UNKNOWN: A write may still take effect; the same apply id tells.
    """

    APPLIED = "applied"
    LOST = "lost"
    NOT_WRITTEN = "not_written"
    UNKNOWN = "unknown"
