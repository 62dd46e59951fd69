"""The protocol by which an operator's configuration is applied."""

from mustardwood import configuration
from mustardwood.replication import apply_command
from mustardwood.replication import apply_machine
from mustardwood.replication import apply_outcome
from mustardwood.replication import precedence

NextCommand = apply_command.ApplyCommand | None
"""Command to carry out next; None when the apply has ended."""


class Apply:
    """Decides which calls an apply makes to the key-value service.

    Each event, such as `start` or `written`, is reported by a method that
    returns the command to carry out next, or None when the apply has ended.
    The agent reports a failed call by `unavailable` or `uncertain`, delays the
    next command after it, and calls `give_up` when the operator's call times
    out. The class does no I/O.

    Examples:
        >>> new = configuration.VersionedDocument(0, "apply-1", "{}")
        >>> apply = Apply(new, expected_version=0, in_force=None)
        >>> apply.start()
        ReadPlatform()
        >>> apply.read(None, 0)
        WritePlatform(document=VersionedDocument(version=1, ...),
                      expected_revision=0)
        >>> apply.uncertain()
        ReadPlatform()
        >>> apply.read(apply.document, 8)
        >>> apply.outcome
        <ApplyOutcome.APPLIED: 'applied'>
    """

    def __init__(self, document: configuration.VersionedDocument,
                 expected_version: int,
                 in_force: configuration.VersionedDocument | None) -> None:
        """Initializes an apply in state ``new``.

        Args:
            document: The operator's document; its version is ignored.
            expected_version: Version that the operator's change is based on;
                0 when there is none.
            in_force: Document in force on this VM, or None.
        """
        self._expected_version = expected_version
        self._data = apply_machine.ApplyData(document, in_force)
        self._machine = apply_machine.make_machine(self._data)

    @property
    def state(self) -> str:
        """Name of the current state, as in `spec.configuration_protocol`."""
        return self._data.state

    @property
    def document(self) -> configuration.VersionedDocument:
        """The operator's document; its version is set before each write."""
        return self._data.own_document

    @property
    def winner(self) -> configuration.VersionedDocument | None:
        """Document of another apply that was found instead, or None."""
        return self._data.winner

    @property
    def outcome(self) -> apply_outcome.ApplyOutcome | None:
        """The outcome; None before the apply has ended."""
        if self.state in tuple(apply_outcome.ApplyOutcome):
            return apply_outcome.ApplyOutcome(self.state)
        return None

    def start(self) -> NextCommand:
        """Starts the apply."""
        return self._machine.start()

    def read(self, document: configuration.VersionedDocument | None,
             revision: int) -> NextCommand:
        """Reports the result of a read.

        Args:
            document: The platform's document; None when the key is absent.
            revision: Its revision; 0 when the key is absent.
        """
        found = self._find_own(document)
        if found is not None:
            return self._machine.read_own(found)
        if self.state == "resolving" and revision == self._data.revision:
            return self._machine.read_same()
        if self.state == "resolving":
            return self._machine.read_other(document)
        highest = self._find_highest(document)
        if self.state == "comparing":
            highest = document
        version = highest.version if highest else 0
        if version != self._expected_version:
            return self._machine.read_other(highest)
        return self._machine.read_base(document, revision)

    def written(self) -> NextCommand:
        """Reports that the write took effect."""
        return self._machine.written()

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
        """Ends the apply because the operator's call has timed out."""
        return self._machine.give_up()

    def _find_own(
        self, document: configuration.VersionedDocument | None
    ) -> configuration.VersionedDocument | None:
        for known in (document, self._data.in_force):
            if known and known.apply_id == self._data.own_document.apply_id:
                return known
        return None

    def _find_highest(
        self, document: configuration.VersionedDocument | None
    ) -> configuration.VersionedDocument | None:
        present = self._data.in_force
        if document is not None and precedence.is_newer(document, present):
            return document
        return present
