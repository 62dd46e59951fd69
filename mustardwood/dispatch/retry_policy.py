"""Whether a request may run more than once."""

import enum


class RetryPolicy(enum.Enum):
    """Whether to send a request to another endpoint after it may have run."""

    IDEMPOTENT = "idempotent"
    """The request may run any number of times."""

    AT_MOST_ONCE = "at_most_once"
    """The request must never run twice."""

    RESUMABLE = "resumable"
    """Another endpoint can continue the stream after its last event."""

    @property
    def allows_rerun(self) -> bool:
        """Whether another endpoint may run the request again."""
        return self is not RetryPolicy.AT_MOST_ONCE
