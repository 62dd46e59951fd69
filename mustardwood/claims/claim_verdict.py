"""The answer of a claim store in one word."""

import enum


class ClaimVerdict(enum.StrEnum):
    """What a claim store says of a key."""

    ACQUIRED = "acquired"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
