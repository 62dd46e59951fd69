"""The state of a claim in the key-value service."""

import enum


class ClaimState(enum.StrEnum):
    """Whether a claimed request may still run, and how it ended.

    Attributes:
        HELD: The holder may send the request or has sent it.
        COMPLETED: The request ran and its response was received.
        UNKNOWN: The request may have run; its response was lost.
    """

    HELD = "held"
    COMPLETED = "completed"
    UNKNOWN = "unknown"
