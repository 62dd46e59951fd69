"""What a response says of its endpoint's rate limit."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RateStatement:
    """The rate limit that a response states.

    Attributes:
        limit: Requests per second that the endpoint accepts from all VMs
            together, a finite number of at least 0; None if it states none.
        problem: Why the stated limit can't be read, for the log; empty if it
            can.
    """

    limit: float | None = None
    problem: str = ""
