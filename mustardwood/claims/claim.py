"""The claim protocol for one attempt."""

import datetime

from mustardwood.claims import claim_command
from mustardwood.claims import claim_machine
from mustardwood.claims import claim_record
from mustardwood.claims import claim_result
from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response

NextCommand = claim_command.Command | None
"""Command to carry out next; None when there is none."""


class Claim:
    """Decides which calls one attempt makes to the key-value service.

    Each event, such as `start` or `complete`, is reported by a method that
    returns the command to carry out next, or None when no call is due. The
    result of a command is reported by `written`, `conflicted`, `uncertain`,
    `unavailable` or `read`. The class does no I/O.

    Args:
        record: The record that the attempt wants to store, in state ``held``.

    Examples:
        >>> import datetime
        >>> record = claim_record.ClaimRecord(
        ...     attempt_id="a1", holder="vm1", fingerprint="f",
        ...     deadline=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC))
        >>> claim = Claim(record)
        >>> type(claim.start()).__name__
        'Create'
        >>> type(claim.uncertain()).__name__
        'Read'
        >>> claim.read(record, 7)
        >>> claim.state
        'held'
    """

    def __init__(self, record: claim_record.ClaimRecord) -> None:
        self._data = claim_machine.ClaimData(record)
        self._machine = claim_machine.make_machine(self._data)

    @property
    def state(self) -> str:
        """Name of the current state, as in `spec.claim_protocol`."""
        return self._data.state

    @property
    def is_held(self) -> bool:
        """Whether the attempt holds the claim, so that it may be sent."""
        return self.state == "held"

    @property
    def is_abandoned(self) -> bool:
        """Whether the attempt gave up while a write may still take effect.

        Such a write leaves a record behind, which `clean` finds and deletes.
        """
        return self.state == "abandoned"

    def start(self) -> NextCommand:
        """Starts to acquire the claim."""
        return self._machine.start()

    def written(self, revision: int) -> NextCommand:
        """Reports that the write took effect.

        Args:
            revision: Revision of the written record; 0 for a delete.
        """
        return self._machine.written(revision)

    def conflicted(self) -> NextCommand:
        """Reports that the write failed because the revision differed."""
        return self._machine.conflicted()

    def uncertain(self) -> NextCommand:
        """Reports a write without a response; it may have taken effect."""
        return self._machine.uncertain()

    def unavailable(self) -> NextCommand:
        """Reports a call that failed without effect."""
        return self._machine.unavailable()

    def give_up(self) -> NextCommand:
        """Stops acquiring the claim on timeout; the attempt is not sent."""
        return self._machine.give_up()

    def read(self, record: claim_record.ClaimRecord | None,
             revision: int) -> NextCommand:
        """Reports the result of a read.

        Args:
            record: The stored record; None when the key is absent.
            revision: Revision of the record; 0 when the key is absent.
        """
        if record is None:
            return self._machine.read_absent()
        if record.attempt_id != self._data.own_record.attempt_id:
            return self._machine.read_other(record)
        if self.state == "confirming" and record == self._data.own_record:
            return self._machine.read_final(record, revision)
        return self._machine.read_own(record, revision)

    def complete(self, response: stored_response.StoredResponse) -> NextCommand:
        """Ends the claim with the response to the attempt."""
        return self._machine.settle(
            self._data.own_record.with_response(response))

    def mark_unknown(self) -> NextCommand:
        """Ends the claim of an attempt whose outcome is unknown."""
        return self._machine.settle(
            self._data.own_record.with_unknown_outcome())

    def release(self) -> NextCommand:
        """Gives up the claim of an attempt that is not and won't be sent."""
        return self._machine.release()

    def clean(self) -> NextCommand:
        """Starts to look for a record left by a late write after giving up."""
        return self._machine.clean()

    def get_result(self,
                   wall_time: datetime.datetime) -> claim_result.ClaimResult:
        """Returns the result of acquiring the claim, from the current state.

        Args:
            wall_time: Current wall-clock time, with a time zone.
        """
        if self.is_held:
            return claim_result.ClaimResult(claim_verdict.ClaimVerdict.ACQUIRED,
                                            holder=self._data.own_record.holder)
        if self._data.other_record is None:
            return claim_result.ClaimResult(
                claim_verdict.ClaimVerdict.UNAVAILABLE)
        return self._data.other_record.get_result(
            self._data.own_record.fingerprint, wall_time)
