"""An operator's apply of a configuration."""

from mustardwood import configuration
from mustardwood.replication import apply_command
from mustardwood.replication import apply_machine
from mustardwood.replication import apply_outcome
from mustardwood.replication import precedence

NextCommand = apply_command.ApplyCommand | None
"""The next command; None at the end."""


class Apply:
    """Decides what an apply does at the key-value service, without I/O.

    Each method tells an event and returns the next command, or None at the
    end. The agent repeats a failed call after a delay and calls `give_up` when
    the time of the operator's call is over.

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
        """Makes an apply.

        Args:
            document: The operator's document; its version is not used.
            expected_version: Version that the operator started from; 0 before
                the first.
            in_force: Document in force on this VM.
        """
        self._expected_version = expected_version
        self._data = apply_machine.ApplyData(document, in_force)
        self._machine = apply_machine.make_machine(self._data)

    @property
    def state(self) -> str:
        """Name of the state, as in the specification."""
        return self._data.state

    @property
    def document(self) -> configuration.VersionedDocument:
        """The document with its version, once it was written."""
        return self._data.own_document

    @property
    def winner(self) -> configuration.VersionedDocument | None:
        """The document that was found instead, when known."""
        return self._data.winner

    @property
    def outcome(self) -> apply_outcome.ApplyOutcome | None:
        """The outcome; None before the end."""
        if self.state in tuple(apply_outcome.ApplyOutcome):
            return apply_outcome.ApplyOutcome(self.state)
        return None

    def start(self) -> NextCommand:
        """Begins."""
        return self._machine.start()

    def read(self, document: configuration.VersionedDocument | None,
             revision: int) -> NextCommand:
        """The platform shows a document at a revision, or none at 0."""
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
        """The write took effect."""
        return self._machine.written()

    def conflicted(self) -> NextCommand:
        """The write found another revision."""
        return self._machine.conflicted()

    def uncertain(self) -> NextCommand:
        """The answer to the write was lost."""
        return self._machine.uncertain()

    def unavailable(self) -> NextCommand:
        """The call had no effect."""
        return self._machine.unavailable()

    def give_up(self) -> NextCommand:
        """The time of the apply is over."""
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
