"""The interface of a store of claims."""

import datetime
import typing

from mustardwood.claims import claim_result
from mustardwood.claims import stored_response


class ClaimStore(typing.Protocol):
    """Grants at most one attempt per organisation and idempotency key."""

    async def acquire(
            self, organisation: str, key: str, fingerprint: str,
            attempt_id: str,
            time_limit: datetime.timedelta) -> claim_result.ClaimResult:
        """Asks for the claim of a request.

        Args:
            organisation: The caller's organisation.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request, to detect a reused key.
            attempt_id: Id of this attempt, unique in the fleet for ever.
            time_limit: Time until the request's deadline; nothing is sent
                after it.

        Returns:
            The verdict. Only `ACQUIRED` permits a send.
        """

    async def complete(self, attempt_id: str,
                       response: stored_response.StoredResponse) -> None:
        """Stores the answer of a held claim; goes on retrying if it must."""

    async def mark_unknown(self, attempt_id: str) -> None:
        """Records that the outcome of a held claim is unknown."""

    async def release(self, attempt_id: str) -> None:
        """Deletes a held claim; only when no byte of the attempt was sent."""
