"""The interface of a claim store."""

import datetime
import typing

from mustardwood.claims import claim_result
from mustardwood.claims import stored_response


class ClaimStore(typing.Protocol):
    """Grants a claim to at most one attempt per organisation and key.

    The key is the Idempotency-Key that the caller sends with its request.
    """

    async def acquire(
            self, organisation: str, key: str, fingerprint: str,
            attempt_id: str,
            time_limit: datetime.timedelta) -> claim_result.ClaimResult:
        """Tries to acquire the claim of a request.

        Args:
            organisation: The caller's organisation.
            key: The caller's Idempotency-Key.
            fingerprint: Digest of the request; it shows when a key is reused
                for another request.
            attempt_id: Id of this attempt, unique in the fleet for all time.
            time_limit: Time until the request's deadline, after which the
                attempt must not be sent.

        Returns:
            The verdict and its data. Only `ACQUIRED` permits sending the
            attempt.
        """

    async def complete(self, attempt_id: str,
                       response: stored_response.StoredResponse) -> None:
        """Stores the response of a held claim; retries it if necessary."""

    async def mark_unknown(self, attempt_id: str) -> None:
        """Records that the outcome of a held claim is unknown."""

    async def release(self, attempt_id: str) -> None:
        """Deletes a held claim; only if no byte of the attempt was sent."""
