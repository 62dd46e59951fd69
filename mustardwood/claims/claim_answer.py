"""The answer of a claim store."""

import datetime

import msgspec

from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_answer


class ClaimAnswer(msgspec.Struct, frozen=True):
    """What a claim store says of a key.

    Attributes:
        verdict: Whether the request may run, or why not.
        answer: The stored answer of a completed claim.
        holder: Attempt id of the claim's holder.
        retry_after: When to come back, where that helps.
    """

    verdict: claim_verdict.ClaimVerdict
    answer: stored_answer.StoredAnswer | None = None
    holder: str = ""
    retry_after: datetime.timedelta | None = None
