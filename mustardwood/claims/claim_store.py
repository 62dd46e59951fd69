"""The interface of a claim store."""

import typing

from mustardwood.claims import claim_answer
from mustardwood.claims import stored_answer


class ClaimStore(typing.Protocol):
    """Keeps one claim for each idempotency key of an organisation."""

    async def acquire(self, organisation: str, key: str, fingerprint: str,
                      attempt_id: str) -> claim_answer.ClaimAnswer:
        """Claims a key for an attempt, before anything is sent."""

    async def complete(self, attempt_id: str,
                       answer: stored_answer.StoredAnswer) -> None:
        """Stores the whole answer."""

    async def mark_unknown(self, attempt_id: str) -> None:
        """Records that the request may have run without a whole answer."""

    async def release(self, attempt_id: str) -> None:
        """Removes the claim; only when nothing was sent."""
