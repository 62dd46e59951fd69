"""The verdict of a claim store on one attempt."""

import enum


class ClaimVerdict(enum.StrEnum):
    """Whether an attempt acquired the claim, and if not, why.

    Attributes:
        ACQUIRED: This attempt holds the claim and may be sent once.
        IN_PROGRESS: Another attempt holds the claim and may still be running.
        COMPLETED: Another attempt ran and its response was received.
        OUTCOME_UNKNOWN: Another attempt may have run; its outcome is unknown.
        KEY_REUSED: The key was used before with a different request.
        UNAVAILABLE: The claim could not be acquired because of a failure or a
            rate limit; this attempt must not be sent.
    """

    ACQUIRED = "acquired"
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    KEY_REUSED = "key_reused"
    UNAVAILABLE = "unavailable"
