"""The state machine of an operator's apply.

The transitions have the names of `spec.configuration_protocol`.
"""

import collections.abc
import typing

import automat

from mustardwood import configuration
from mustardwood.replication import apply_command

Next = apply_command.ApplyCommand | None
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

    def __init__(self, own: Document, in_force: Document | None) -> None:
        self.state = "new"
        self.own = own
        self.in_force = in_force
        self.winner: Document | None = None
        self.revision = 0


class ApplyInputs(typing.Protocol):
    """Events of the machine."""

    def start(self) -> Next:
        """Begins."""

    def read_base(self, present: Document | None, revision: int) -> Next:
        """The platform shows a document to build on."""

    def read_same(self) -> Next:
        """The platform shows the revision that the write replaces."""

    def read_own(self, present: Document) -> Next:
        """The platform shows this apply's document."""

    def read_other(self, present: Document | None) -> Next:
        """The platform shows a document that excludes this apply."""

    def written(self) -> Next:
        """The write took effect."""

    def conflicted(self) -> Next:
        """The write found another revision."""

    def uncertain(self) -> Next:
        """The answer to the write was lost."""

    def unavailable(self) -> Next:
        """The call had no effect."""

    def give_up(self) -> Next:
        """The time of the apply is over."""


_Output = collections.abc.Callable[..., Next]


def _read(_data: ApplyData, *_arguments: object) -> Next:
    return apply_command.ReadPlatform()


def _wait(_data: ApplyData, *_arguments: object) -> Next:
    return None


def _keep_own(data: ApplyData, present: Document) -> None:
    data.own = present


def _keep_winner(data: ApplyData, present: Document | None) -> None:
    data.winner = present


def _write(data: ApplyData, present: Document | None, revision: int) -> Next:
    known = (present, data.in_force)
    highest = max((one.version for one in known if one), default=0)
    data.own = configuration.VersionedDocument(highest + 1, data.own.apply_id,
                                               data.own.text, data.own.author,
                                               data.own.applied_at)
    data.revision = revision
    return apply_command.WritePlatform(data.own, revision)


def _write_again(data: ApplyData, *_arguments: object) -> Next:
    return apply_command.WritePlatform(data.own, data.revision)


STATES = ("new", "reading", "writing", "resolving", "writing_again",
          "comparing", "applied", "lost", "not_written", "unknown")
"""Names of the states."""

_IN = ApplyInputs
TRANSITIONS: tuple[tuple[str, typing.Any, str, _Output], ...] = (
    ("new", _IN.start, "reading", _read),
    ("reading", _IN.read_base, "writing", _write),
    ("reading", _IN.read_own, "applied", _keep_own),
    ("reading", _IN.read_other, "lost", _keep_winner),
    ("reading", _IN.unavailable, "not_written", _wait),
    ("reading", _IN.give_up, "not_written", _wait),
    ("writing", _IN.written, "applied", _wait),
    ("writing", _IN.conflicted, "comparing", _read),
    ("writing", _IN.uncertain, "resolving", _read),
    ("writing", _IN.unavailable, "not_written", _wait),
    ("writing", _IN.give_up, "not_written", _wait),
    ("comparing", _IN.read_base, "writing", _write),
    ("comparing", _IN.read_own, "applied", _keep_own),
    ("comparing", _IN.read_other, "lost", _keep_winner),
    ("comparing", _IN.unavailable, "not_written", _wait),
    ("comparing", _IN.give_up, "not_written", _wait),
    ("resolving", _IN.read_same, "writing_again", _write_again),
    ("resolving", _IN.read_own, "applied", _keep_own),
    ("resolving", _IN.read_other, "unknown", _keep_winner),
    ("resolving", _IN.unavailable, "resolving", _read),
    ("resolving", _IN.give_up, "unknown", _wait),
    ("writing_again", _IN.written, "applied", _wait),
    ("writing_again", _IN.conflicted, "resolving", _read),
    ("writing_again", _IN.uncertain, "resolving", _read),
    ("writing_again", _IN.unavailable, "resolving", _read),
    ("writing_again", _IN.give_up, "unknown", _wait),
)
"""State, event, next state and output of each transition."""


def _build() -> collections.abc.Callable[[ApplyData], ApplyInputs]:
    builder = automat.TypeMachineBuilder(ApplyInputs, ApplyData)
    states = {name: builder.state(name) for name in STATES}

    def connect(source: str, event: typing.Any, target: str,
                output: _Output) -> None:

        def run(_inputs: ApplyInputs, data: ApplyData, *arguments:
                typing.Any) -> Next:
            data.state = target
            return output(data, *arguments)

        states[source].upon(event).to(states[target])(run)

    for source, event, target, output in TRANSITIONS:
        connect(source, event, target, output)
    return builder.build()


make_machine = _build()
"""Makes a machine for the data of one apply."""
