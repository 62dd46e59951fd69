"""One attempt's claim."""

import datetime

from mustardwood.claims import claim_command
from mustardwood.claims import claim_machine
from mustardwood.claims import claim_record
from mustardwood.claims import claim_result
from mustardwood.claims import claim_verdict
from mustardwood.claims import stored_response

Next = claim_command.Command | None
"""The next command, if any."""


class Claim:
    """Decides what one attempt does at the key-value service.

    Each method tells an event and returns the next command, or None when the
    claim waits for its user. It does no I/O.

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
        """Name of the state, as in the specification."""
        return self._data.state

    @property
    def is_held(self) -> bool:
        """Whether the attempt may be sent."""
        return self.state == "held"

    @property
    def is_abandoned(self) -> bool:
        """Whether a late effect of a write may leave a record behind."""
        return self.state == "abandoned"

    def start(self) -> Next:
        """The attempt wants the claim."""
        return self._machine.start()

    def written(self, revision: int) -> Next:
        """The write took effect with this revision; 0 for a delete."""
        return self._machine.written(revision)

    def conflicted(self) -> Next:
        """The write found another revision."""
        return self._machine.conflicted()

    def uncertain(self) -> Next:
        """The answer to the write was lost."""
        return self._machine.uncertain()

    def unavailable(self) -> Next:
        """The call had no effect."""
        return self._machine.unavailable()

    def give_up(self) -> Next:
        """The time to acquire the claim is over; nothing will be sent."""
        return self._machine.give_up()

    def read(self, record: claim_record.ClaimRecord | None,
             revision: int) -> Next:
        """The key holds `record` at `revision`, or is absent."""
        if record is None:
            return self._machine.read_absent()
        if record.attempt_id != self._data.own.attempt_id:
            return self._machine.read_other(record)
        if self.state == "confirming" and record == self._data.own:
            return self._machine.read_final(record, revision)
        return self._machine.read_own(record, revision)

    def complete(self, answer: stored_response.StoredResponse) -> Next:
        """The attempt was answered."""
        return self._machine.settle(self._data.own.with_answer(answer))

    def mark_unknown(self) -> Next:
        """The outcome of the attempt was lost."""
        return self._machine.settle(self._data.own.with_unknown())

    def release(self) -> Next:
        """Nothing was sent, and nothing will be."""
        return self._machine.release()

    def clean(self) -> Next:
        """Looks for a late effect of an abandoned write."""
        return self._machine.clean()

    def judge(self, wall_time: datetime.datetime) -> claim_result.ClaimResult:
        """Returns the verdict for the attempt in its present state."""
        if self.is_held:
            return claim_result.ClaimResult(claim_verdict.ClaimVerdict.ACQUIRED,
                                            holder=self._data.own.holder)
        if self._data.other is None:
            return claim_result.ClaimResult(
                claim_verdict.ClaimVerdict.UNAVAILABLE)
        return self._data.other.judge(self._data.own.fingerprint, wall_time)
