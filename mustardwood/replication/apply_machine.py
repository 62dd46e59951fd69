"""The state machine of an operator's apply.

Each input of the machine reports an event and returns the next command to the
key-value service, or None when the apply has ended. When the response to a
write is lost, the machine reads the document back before it decides.

States and transitions have the same names as in `spec.configuration_protocol`.
"""

import collections.abc
import typing

import automat

from mustardwood import configuration
from mustardwood.replication import apply_command

NextCommand = apply_command.ApplyCommand | None
"""Command to carry out next; None when the apply has ended."""

Document = configuration.VersionedDocument
"""A configuration document with its version and apply id."""


class ApplyData:
    """Data of the state machine.

    Attributes:
        state: Name of the current state.
        own_document: The operator's document; its version is set before each
            write.
        in_force: Document in force on this VM, or None.
        winner: Document of another apply that was found instead, or None.
        revision: Revision that the write is to replace.
    """

    def __init__(self, own_document: Document,
                 in_force: Document | None) -> None:
        self.state = "new"
        self.own_document = own_document
        self.in_force = in_force
        self.winner: Document | None = None
        self.revision = 0


class ApplyInputs(typing.Protocol):
    """Inputs of the state machine."""

    def start(self) -> NextCommand:
        """The apply starts."""

    def read_base(self, present: Document | None, revision: int) -> NextCommand:
        """The version that this apply is based on is current; it can write."""

    def read_same(self) -> NextCommand:
        """The revision that the write was to replace is still stored."""

    def read_own(self, present: Document) -> NextCommand:
        """The document of this apply was found; it was accepted before."""

    def read_other(self, present: Document | None) -> NextCommand:
        """A document was found that this apply is not based on."""

    def written(self) -> NextCommand:
        """The write took effect."""

    def conflicted(self) -> NextCommand:
        """The write had no effect because the revision differed."""

    def uncertain(self) -> NextCommand:
        """The response to the write was lost; it may have taken effect."""

    def unavailable(self) -> NextCommand:
        """The call failed without effect."""

    def give_up(self) -> NextCommand:
        """The operator's call has timed out."""


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
"""Names of the states.

- ``new``: the apply has not started.
- ``reading``: the platform's document is being read.
- ``writing``: the document is being written.
- ``resolving``: a write may have taken effect; the platform's document is being
  read to find out whether it did.
- ``writing_again``: the uncertain write has not taken effect and is retried.
- ``comparing``: the write found another revision; the platform's document is
  being read to compare its version with the expected one.
- ``applied``: the document was accepted.
- ``lost``: another document was accepted first.
- ``not_written``: nothing was written, as the service was unavailable or the
  operator's call timed out.
- ``unknown``: the document may have been written, or a write may still take
  effect.
"""

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
"""State, input, next state and output function of each transition."""


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
"""Returns a state machine that works on the given `ApplyData`."""
