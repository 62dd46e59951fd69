"""Claims of non-idempotent requests."""

from mustardwood.claims.claim_answer import ClaimAnswer
from mustardwood.claims.claim_store import ClaimStore
from mustardwood.claims.claim_verdict import ClaimVerdict
from mustardwood.claims.stored_answer import StoredAnswer

__all__ = ["ClaimAnswer", "ClaimStore", "ClaimVerdict", "StoredAnswer"]
