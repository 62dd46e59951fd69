"""The answer of a claim store."""

import datetime

import msgspec

from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response


class ClaimResult(msgspec.Struct, frozen=True):
    """A verdict with what the caller needs to act on it.

    Attributes:
        verdict: The verdict.
        answer: The stored answer of a completed claim; None when its body was
            too long to store, so that the request ran but its answer can't be
            repeated.
        holder: VM that holds the claim, when another attempt does.
        retry_after: When asking again helps.
    """

    verdict: claim_verdict.ClaimVerdict
    response: stored_response.StoredResponse | None = None
    holder: str = ""
    retry_after: datetime.timedelta | None = None
