"""A term of leadership."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class Term:
    """The time during which one VM carries out the duties.

    Attributes:
        holder: Name of the VM.
        token: Fencing token, which is higher than those of all earlier terms.
        expires_at: Monotonic time at which the VM stops acting unless the term
            is extended, by a clock that includes the time of a suspension.
    """

    holder: str
    token: int
    expires_at: datetime.timedelta
