"""What a response says of the time for which its endpoint wants no requests."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class PauseStatement:
    """The pause that a response asks for.

    Attributes:
        duration: Time for which the endpoint wants nothing from this VM; None
            if it asks for none.
        problem: Why the stated time can't be read, for the log; empty if it
            can.
    """

    duration: datetime.timedelta | None = None
    problem: str = ""
