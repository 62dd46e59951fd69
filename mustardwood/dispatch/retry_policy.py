"""What may be done with a request more than once."""

import enum


class RetryPolicy(enum.Enum):
    """Whether a request may reach a second endpoint after it may have run."""

    IDEMPOTENT = "idempotent"
    """May run any number of times."""

    AT_MOST_ONCE = "at_most_once"
    """Must never run twice."""

    RESUMABLE = "resumable"
    """A stream that another endpoint continues after the last event."""

    @property
    def allows_second_run(self) -> bool:
        """Whether another endpoint may run the request again."""
        return self is not RetryPolicy.AT_MOST_ONCE
