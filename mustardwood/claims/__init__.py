"""Claims, which keep a non-idempotent request from running twice.

A claim is a record in the platform's key-value service that gives one attempt
of a request with an Idempotency-Key the exclusive right to be sent to an
endpoint. `Claim` holds the protocol's decisions and does no I/O;
`claimstore.KeyValueClaimStore` carries out its commands. The design is
described in docs/design/claims.md.
"""

from mustardwood.claims.claim import Claim
from mustardwood.claims.claim_command import Command
from mustardwood.claims.claim_command import Create
from mustardwood.claims.claim_command import Delete
from mustardwood.claims.claim_command import Read
from mustardwood.claims.claim_command import Replace
from mustardwood.claims.claim_record import ClaimRecord
from mustardwood.claims.claim_record import DEFAULT_RETRY_AFTER
from mustardwood.claims.claim_result import ClaimResult
from mustardwood.claims.claim_state import ClaimState
from mustardwood.claims.claim_store import ClaimStore
from mustardwood.claims.claim_verdict import ClaimVerdict
from mustardwood.claims.stored_response import StoredResponse

__all__ = [
    "Claim",
    "ClaimRecord",
    "ClaimResult",
    "ClaimState",
    "ClaimStore",
    "ClaimVerdict",
    "Command",
    "Create",
    "DEFAULT_RETRY_AFTER",
    "Delete",
    "Read",
    "Replace",
    "StoredResponse",
]
