"""The state machine of one attempt's claim.

Each call tells the machine an event and returns its next command to the
key-value service, or None when it has to wait for its user. A lost answer to a
write is never guessed: the record is read back and its attempt id compared. A
record of another attempt is never written over.

The transitions have the names of `spec.claim_protocol`.
"""

import collections.abc
import typing

import automat

from mustardwood.claims import claim_command
from mustardwood.claims import claim_record

Next = claim_command.Command | None
"""The next command, if any."""


class ClaimData:
    """Data of the machine.

    Attributes:
        state: Name of the present state.
        own: Record as this attempt wants it.
        other: Record of another attempt that was found.
        revision: Revision of the stored own record; 0 when not known.
    """

    def __init__(self, own: claim_record.ClaimRecord) -> None:
        self.state = "new"
        self.own = own
        self.other: claim_record.ClaimRecord | None = None
        self.revision = 0


class ClaimInputs(typing.Protocol):
    """Events of the machine."""

    def start(self) -> Next:
        """The attempt wants the claim."""

    def written(self, revision: int) -> Next:
        """The write took effect."""

    def conflicted(self) -> Next:
        """The write found another revision."""

    def uncertain(self) -> Next:
        """The answer to the write was lost."""

    def unavailable(self) -> Next:
        """The call had no effect."""

    def read_own(self, record: claim_record.ClaimRecord, revision: int) -> Next:
        """The key holds this attempt's record."""

    def read_final(self, record: claim_record.ClaimRecord,
                   revision: int) -> Next:
        """The key holds this attempt's final record."""

    def read_other(self, record: claim_record.ClaimRecord) -> Next:
        """The key holds the record of another attempt."""

    def read_absent(self) -> Next:
        """The key is absent."""

    def give_up(self) -> Next:
        """The time to acquire the claim is over."""

    def settle(self, record: claim_record.ClaimRecord) -> Next:
        """The attempt ended; store its final record."""

    def release(self) -> Next:
        """Nothing was sent; delete the claim."""

    def clean(self) -> Next:
        """Look for a late effect of an abandoned write."""


_Output = collections.abc.Callable[..., Next]


def _create(data: ClaimData) -> Next:
    return claim_command.Create(data.own)


def _read(_data: ClaimData) -> Next:
    return claim_command.Read()


def _wait(_data: ClaimData, *_arguments: object) -> Next:
    return None


def _keep_revision(data: ClaimData, revision: int) -> None:
    data.revision = revision


def _hold(data: ClaimData, _record: claim_record.ClaimRecord,
          revision: int) -> None:
    data.revision = revision


def _keep_other(data: ClaimData, record: claim_record.ClaimRecord) -> None:
    data.other = record


def _replace(data: ClaimData, record: claim_record.ClaimRecord) -> Next:
    data.own = record
    return claim_command.Replace(data.own, data.revision)


def _replace_again(data: ClaimData) -> Next:
    return claim_command.Replace(data.own, data.revision)


def _replace_read(data: ClaimData, _record: claim_record.ClaimRecord,
                  revision: int) -> Next:
    data.revision = revision
    return claim_command.Replace(data.own, revision)


def _delete(data: ClaimData) -> Next:
    return claim_command.Delete(data.revision)


def _delete_read(data: ClaimData, _record: claim_record.ClaimRecord,
                 revision: int) -> Next:
    data.revision = revision
    return claim_command.Delete(revision)


def _build() -> collections.abc.Callable[[ClaimData], ClaimInputs]:
    builder = automat.TypeMachineBuilder(ClaimInputs, ClaimData)
    states = {name: builder.state(name) for name in _STATES}

    def connect(source: str, event: typing.Any, target: str,
                output: _Output) -> None:

        def run(_inputs: ClaimInputs, data: ClaimData, *arguments:
                typing.Any) -> Next:
            data.state = target
            return output(data, *arguments)

        states[source].upon(event).to(states[target])(run)

    for source, event, target, output in TRANSITIONS:
        connect(source, event, target, output)
    return builder.build()


_STATES = ("new", "creating", "reading", "resolving", "creating_again",
           "refused", "abandoned", "cleaning", "removing", "held", "settling",
           "confirming", "settled", "releasing", "confirming_release",
           "released")

_IN = ClaimInputs
TRANSITIONS: tuple[tuple[str, typing.Any, str, _Output], ...] = (
    ("new", _IN.start, "creating", _create),
    ("creating", _IN.written, "held", _keep_revision),
    ("creating", _IN.conflicted, "reading", _read),
    ("creating", _IN.uncertain, "resolving", _read),
    ("creating", _IN.unavailable, "refused", _wait),
    ("reading", _IN.read_own, "held", _hold),
    ("reading", _IN.read_other, "refused", _keep_other),
    ("reading", _IN.read_absent, "creating", _create),
    ("reading", _IN.unavailable, "refused", _wait),
    ("resolving", _IN.read_own, "held", _hold),
    ("resolving", _IN.read_other, "abandoned", _keep_other),
    ("resolving", _IN.read_absent, "creating_again", _create),
    ("resolving", _IN.unavailable, "resolving", _read),
    ("creating_again", _IN.written, "held", _keep_revision),
    ("creating_again", _IN.conflicted, "resolving", _read),
    ("creating_again", _IN.uncertain, "resolving", _read),
    ("creating_again", _IN.unavailable, "resolving", _read),
    ("creating", _IN.give_up, "refused", _wait),
    ("reading", _IN.give_up, "refused", _wait),
    ("resolving", _IN.give_up, "abandoned", _wait),
    ("creating_again", _IN.give_up, "abandoned", _wait),
    ("abandoned", _IN.clean, "cleaning", _read),
    ("cleaning", _IN.read_own, "removing", _delete_read),
    ("cleaning", _IN.read_other, "abandoned", _wait),
    ("cleaning", _IN.read_absent, "abandoned", _wait),
    ("cleaning", _IN.unavailable, "abandoned", _wait),
    ("removing", _IN.written, "abandoned", _wait),
    ("removing", _IN.conflicted, "abandoned", _wait),
    ("removing", _IN.uncertain, "abandoned", _wait),
    ("removing", _IN.unavailable, "abandoned", _wait),
    ("held", _IN.settle, "settling", _replace),
    ("settling", _IN.written, "settled", _keep_revision),
    ("settling", _IN.conflicted, "confirming", _read),
    ("settling", _IN.uncertain, "confirming", _read),
    ("settling", _IN.unavailable, "settling", _replace_again),
    ("confirming", _IN.read_final, "settled", _hold),
    ("confirming", _IN.read_own, "settling", _replace_read),
    ("confirming", _IN.read_other, "settled", _wait),
    ("confirming", _IN.read_absent, "settled", _wait),
    ("confirming", _IN.unavailable, "confirming", _read),
    ("held", _IN.release, "releasing", _delete),
    ("releasing", _IN.written, "released", _wait),
    ("releasing", _IN.conflicted, "confirming_release", _read),
    ("releasing", _IN.uncertain, "confirming_release", _read),
    ("releasing", _IN.unavailable, "releasing", _delete),
    ("confirming_release", _IN.read_own, "releasing", _delete_read),
    ("confirming_release", _IN.read_other, "released", _wait),
    ("confirming_release", _IN.read_absent, "released", _wait),
    ("confirming_release", _IN.unavailable, "confirming_release", _read),
)
"""State, event, next state and output of each transition."""

make_machine = _build()
"""Makes a machine for the data of one attempt."""
