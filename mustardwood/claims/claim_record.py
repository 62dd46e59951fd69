"""The record of a claim in the key-value service."""

import datetime

import msgspec

from mustardwood.claims import claim_result
from mustardwood.claims import claim_state
from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response

DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=2)
"""Delay after which a caller is told to send a refused request again.

When another attempt holds the claim, the delay ends at that attempt's deadline
if this is sooner.
"""


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as stored in JSON.

    Attributes:
        attempt_id: Id of the attempt that holds the claim.
        holder: Name of the attempt's VM.
        fingerprint: Digest of the request.
        deadline: Wall-clock time after which the attempt is no longer assumed
            to be running. Another attempt may not take the claim over even
            then, as the request may have run.
        state: State of the claim.
        answer: Response to the request, when the claim is completed and the
            body is at most `stored_response.MAX_BODY_BYTES` long; else None.

    Examples:
        >>> import datetime
        >>> record = ClaimRecord(
        ...     attempt_id="a1", holder="vm1", fingerprint="f",
        ...     deadline=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC))
        >>> ClaimRecord.from_json(record.to_json()) == record
        True
    """

    attempt_id: str
    holder: str
    fingerprint: str
    deadline: datetime.datetime
    state: claim_state.ClaimState = claim_state.ClaimState.HELD
    answer: stored_response.StoredResponse | None = None

    @classmethod
    def from_json(cls, text: str) -> "ClaimRecord":
        """Returns the record decoded from a stored value.

        Raises:
            msgspec.ValidationError: The value is not a claim record.
        """
        return msgspec.json.decode(text, type=cls)

    def to_json(self) -> str:
        """Returns the record as the JSON text that is stored."""
        return msgspec.json.encode(self).decode()

    def with_response(
            self, response: stored_response.StoredResponse) -> "ClaimRecord":
        """Returns the completed record, without a response that is too long."""
        fits = len(response.body) <= stored_response.MAX_BODY_BYTES
        return msgspec.structs.replace(self,
                                       state=claim_state.ClaimState.COMPLETED,
                                       answer=response if fits else None)

    def with_unknown_outcome(self) -> "ClaimRecord":
        """Returns the final record for an attempt with unknown outcome."""
        return msgspec.structs.replace(self,
                                       state=claim_state.ClaimState.UNKNOWN)

    def get_result(self, fingerprint: str,
                   wall_time: datetime.datetime) -> claim_result.ClaimResult:
        """Returns the result for a later attempt with the same key.

        Args:
            fingerprint: Digest of the later attempt's request.
            wall_time: Current wall-clock time, with a time zone.

        Returns:
            The result, with any verdict but `ACQUIRED` and `UNAVAILABLE`.
        """
        verdict = claim_verdict.ClaimVerdict
        if fingerprint != self.fingerprint:
            return claim_result.ClaimResult(verdict.KEY_REUSED)
        if self.state is claim_state.ClaimState.COMPLETED:
            return claim_result.ClaimResult(verdict.COMPLETED, self.answer,
                                            self.holder)
        if self.state is claim_state.ClaimState.UNKNOWN:
            return claim_result.ClaimResult(verdict.OUTCOME_UNKNOWN,
                                            holder=self.holder)
        if wall_time >= self.deadline:
            return claim_result.ClaimResult(verdict.OUTCOME_UNKNOWN,
                                            holder=self.holder)
        return claim_result.ClaimResult(verdict.IN_PROGRESS,
                                        holder=self.holder,
                                        retry_after=min(
                                            DEFAULT_RETRY_AFTER,
                                            self.deadline - wall_time))
