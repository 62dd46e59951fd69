"""The state machine of an operator's apply.

The transitions have the names of `spec.configuration_protocol`.
"""

import collections.abc
import typing

import automat

from mustardwood import configuration
from mustardwood.replication import apply_command

NextCommand = apply_command.ApplyCommand | None
"""The next command; None at the end."""

Document = configuration.VersionedDocument
"""A document with its version."""


class ApplyData:
    """Data of the machine.

    Attributes:
        state: Name of the present state.
        own: The operator's document; its version is set before the write.
        in_force: Document in force on this VM, or None.
        winner: Document that was found instead, or None.
        revision: Revision that the write replaces.
    """

    def __init__(self, own_document: Document,
                 in_force: Document | None) -> None:
        self.state = "new"
        self.own_document = own_document
        self.in_force = in_force
        self.winner: Document | None = None
        self.revision = 0


class ApplyInputs(typing.Protocol):
    """Events of the machine."""

    def start(self) -> NextCommand:
        """Begins."""

    def read_base(self, present: Document | None, revision: int) -> NextCommand:
        """The platform shows a document to build on."""

    def read_same(self) -> NextCommand:
        """The platform shows the revision that the write replaces."""

    def read_own(self, present: Document) -> NextCommand:
        """The platform shows this apply's document."""

    def read_other(self, present: Document | None) -> NextCommand:
        """The platform shows a document that excludes this apply."""

    def written(self) -> NextCommand:
        """The write took effect."""

    def conflicted(self) -> NextCommand:
        """The write found another revision."""

    def uncertain(self) -> NextCommand:
        """The answer to the write was lost."""

    def unavailable(self) -> NextCommand:
        """The call had no effect."""

    def give_up(self) -> NextCommand:
        """The time of the apply is over."""


_Output = collections.abc.Callable[..., NextCommand]


def _read_platform(_data: ApplyData, *_arguments: object) -> NextCommand:
    return apply_command.ReadPlatform()


def _do_nothing(_data: ApplyData, *_arguments: object) -> NextCommand:
    return None


def _store_own(data: ApplyData, present: Document) -> None:
    data.own_document = present


def _store_winner(data: ApplyData, present: Document | None) -> None:
    data.winner = present


def _write_next(data: ApplyData, present: Document | None,
                revision: int) -> NextCommand:
    known = (present, data.in_force)
    highest = max((one.version for one in known if one), default=0)
    data.own_document = configuration.VersionedDocument(
        highest + 1, data.own_document.apply_id, data.own_document.text,
        data.own_document.author, data.own_document.applied_at)
    data.revision = revision
    return apply_command.WritePlatform(data.own_document, revision)


def _retry_write(data: ApplyData, *_arguments: object) -> NextCommand:
    return apply_command.WritePlatform(data.own_document, data.revision)


STATES = ("new", "reading", "writing", "resolving", "writing_again",
          "comparing", "applied", "lost", "not_written", "unknown")
"""Names of the states."""

_INPUTS = ApplyInputs
TRANSITIONS: tuple[tuple[str, typing.Any, str, _Output], ...] = (
    ("new", _INPUTS.start, "reading", _read_platform),
    ("reading", _INPUTS.read_base, "writing", _write_next),
    ("reading", _INPUTS.read_own, "applied", _store_own),
    ("reading", _INPUTS.read_other, "lost", _store_winner),
    ("reading", _INPUTS.unavailable, "not_written", _do_nothing),
    ("reading", _INPUTS.give_up, "not_written", _do_nothing),
    ("writing", _INPUTS.written, "applied", _do_nothing),
    ("writing", _INPUTS.conflicted, "comparing", _read_platform),
    ("writing", _INPUTS.uncertain, "resolving", _read_platform),
    ("writing", _INPUTS.unavailable, "not_written", _do_nothing),
    ("writing", _INPUTS.give_up, "not_written", _do_nothing),
    ("comparing", _INPUTS.read_base, "writing", _write_next),
    ("comparing", _INPUTS.read_own, "applied", _store_own),
    ("comparing", _INPUTS.read_other, "lost", _store_winner),
    ("comparing", _INPUTS.unavailable, "not_written", _do_nothing),
    ("comparing", _INPUTS.give_up, "not_written", _do_nothing),
    ("resolving", _INPUTS.read_same, "writing_again", _retry_write),
    ("resolving", _INPUTS.read_own, "applied", _store_own),
    ("resolving", _INPUTS.read_other, "unknown", _store_winner),
    ("resolving", _INPUTS.unavailable, "resolving", _read_platform),
    ("resolving", _INPUTS.give_up, "unknown", _do_nothing),
    ("writing_again", _INPUTS.written, "applied", _do_nothing),
    ("writing_again", _INPUTS.conflicted, "resolving", _read_platform),
    ("writing_again", _INPUTS.uncertain, "resolving", _read_platform),
    ("writing_again", _INPUTS.unavailable, "resolving", _read_platform),
    ("writing_again", _INPUTS.give_up, "unknown", _do_nothing),
)
"""State, event, next state and output of each transition."""


def _build_machine_factory(
) -> collections.abc.Callable[[ApplyData], ApplyInputs]:
    builder = automat.TypeMachineBuilder(ApplyInputs, ApplyData)
    states = {name: builder.state(name) for name in STATES}

    def connect(source: str, event: typing.Any, target: str,
                output: _Output) -> None:

        def run(_inputs: ApplyInputs, data: ApplyData, *arguments:
                typing.Any) -> NextCommand:
            data.state = target
            return output(data, *arguments)

        states[source].upon(event).to(states[target])(run)

    for source, event, target, output in TRANSITIONS:
        connect(source, event, target, output)
    return builder.build()


make_machine = _build_machine_factory()
"""Makes a machine for the data of one apply."""
