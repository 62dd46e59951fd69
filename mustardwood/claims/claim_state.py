"""The state of a claim in the key-value service."""

import enum


class ClaimState(enum.StrEnum):
    """Whether a claimed request may still run, and what came of it.

    Attributes:
        HELD: The holder may send or have sent the request.
        COMPLETED: The request ran and was answered.
        UNKNOWN: The request may have run; its answer was lost.
    """

    HELD = "held"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
