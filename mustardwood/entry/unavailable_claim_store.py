"""A claim store for an entry without one."""

import datetime

from mustardwood import claims


class UnavailableClaimStore:
    """Answers that claims can't be made."""

    async def acquire(self, organisation: str, key: str, fingerprint: str,
                      attempt_id: str,
                      time_limit: datetime.timedelta) -> claims.ClaimResult:
        """Answers that the store is unavailable."""
        del organisation, key, fingerprint, attempt_id, time_limit
        return claims.ClaimResult(claims.ClaimVerdict.UNAVAILABLE)

    async def complete(self, attempt_id: str,
                       response: claims.StoredResponse) -> None:
        """Does nothing: there are no claims."""

    async def mark_unknown(self, attempt_id: str) -> None:
        """Does nothing: there are no claims."""

    async def release(self, attempt_id: str) -> None:
        """Does nothing: there are no claims."""
