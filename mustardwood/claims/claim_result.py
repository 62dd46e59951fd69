"""The result of asking for a claim."""

import datetime

import msgspec

from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response


class ClaimResult(msgspec.Struct, frozen=True):
    """A verdict with the data that the caller needs to act on it.

    Attributes:
        verdict: The verdict.
        answer: The stored response of a completed claim. It is None when the
            body was too long to store: the request ran, but its response can't
            be repeated.
        holder: Name of the VM that holds the claim; empty when not known.
        retry_after: Delay after which asking again may succeed, or None.
    """

    verdict: claim_verdict.ClaimVerdict
    answer: stored_response.StoredResponse | None = None
    holder: str = ""
    retry_after: datetime.timedelta | None = None
