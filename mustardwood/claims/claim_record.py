"""The value of a claim in the key-value service."""

import datetime

import msgspec

from mustardwood.claims import claim_result
from mustardwood.claims import claim_state
from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response

DEFAULT_RETRY_AFTER = datetime.timedelta(seconds=2)
"""Longest delay that an arrival is told to wait for a running attempt."""


class ClaimRecord(msgspec.Struct, frozen=True):
    """A claim as it is stored, in JSON.

    Attributes:
        attempt_id: Attempt that holds the claim.
        holder: VM of the attempt.
        fingerprint: Digest of the request.
        deadline: Wall-clock time after which the attempt is no longer taken to
            be running. It never gives anybody the right to take over.
        state: State of the claim.
        answer: Answer, when completed and short enough.

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
        """Decodes a stored value.

        Raises:
            msgspec.ValidationError: The value is not a claim record.
        """
        return msgspec.json.decode(text, type=cls)

    def to_json(self) -> str:
        """Encodes the record for the key-value service."""
        return msgspec.json.encode(self).decode()

    def with_answer(self,
                    answer: stored_response.StoredResponse) -> "ClaimRecord":
        """Returns the completed record; a long answer is left out."""
        fits = len(answer.body) <= stored_response.MAX_BODY_BYTES
        return msgspec.structs.replace(self,
                                       state=claim_state.ClaimState.COMPLETED,
                                       answer=answer if fits else None)

    def with_unknown(self) -> "ClaimRecord":
        """Returns the record of an attempt whose outcome was lost."""
        return msgspec.structs.replace(self,
                                       state=claim_state.ClaimState.UNKNOWN)

    def judge(self, fingerprint: str,
              wall_time: datetime.datetime) -> claim_result.ClaimResult:
        """Decides what a later arrival with the same key is told.

        Args:
            fingerprint: Digest of the arrival's request.
            wall_time: The present time, aware.

        Returns:
            Any verdict but `ACQUIRED` and `UNAVAILABLE`.
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
