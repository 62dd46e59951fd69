"""Claim store for an entry that has none configured."""

import datetime

from mustardwood import claims


class UnavailableClaimStore:
    """Reports every claim as unavailable; implements `claims.ClaimStore`."""

    async def acquire(self, organisation: str, key: str, fingerprint: str,
                      attempt_id: str,
                      time_limit: datetime.timedelta) -> claims.ClaimResult:
        """Returns the verdict that the claim store is unavailable."""
        del organisation, key, fingerprint, attempt_id, time_limit
        return claims.ClaimResult(claims.ClaimVerdict.UNAVAILABLE)

    async def complete(self, attempt_id: str,
                       response: claims.StoredResponse) -> None:
        """Does nothing: there are no claims."""

    async def mark_unknown(self, attempt_id: str) -> None:
        """Does nothing: there are no claims."""

    async def release(self, attempt_id: str) -> None:
        """Does nothing: there are no claims."""
