"""Decision on a hedged request."""

import dataclasses
import datetime

from mustardwood.hedging import hedge_reason
from mustardwood.hedging import hedge_verdict


@dataclasses.dataclass(frozen=True)
class HedgeDecision:
    """Whether to send a request to a second endpoint.

    Attributes:
        verdict: Now, later or never.
        reason: The reason, for the log and the metrics.
        due_after: Time since the first send at which to decide again; zero
            unless the verdict is later.
    """

    verdict: hedge_verdict.HedgeVerdict
    reason: hedge_reason.HedgeReason
    due_after: datetime.timedelta = datetime.timedelta()
