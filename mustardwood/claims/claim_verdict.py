"""What a claim store decided about an arrival."""

import enum


class ClaimVerdict(enum.StrEnum):
    """The outcome of asking for a claim.

    Attributes:
        ACQUIRED: The caller of the store holds the claim and may send once.
        IN_PROGRESS: Another attempt holds the claim and may still be running.
        COMPLETED: Another attempt ran and was completed.
        OUTCOME_UNKNOWN: Another attempt may have run; nobody knows.
        KEY_REUSED: The key was used before with another request.
        UNAVAILABLE: No claim was made and this attempt must not be sent.
    """

    ACQUIRED = "acquired"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
