"""The result of a duty call."""

import dataclasses
import datetime

from mustardwood.leadership import call_outcome


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The result of a duty call.

    Attributes:
        outcome: How the call ended.
        retry_after: Time to wait before the next call; None if the response
            names none.
    """

    outcome: call_outcome.CallOutcome
    retry_after: datetime.timedelta | None = None
