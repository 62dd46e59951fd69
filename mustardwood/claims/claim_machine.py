"""The state machine of one attempt's claim.

Each input of the machine reports an event and returns the next command to the
key-value service, or None when no call is due. When the response to a write is
lost, the machine does not assume an outcome: it reads the record back and
compares the attempt id. It never overwrites the record of another attempt.

States and transitions have the same names as in `spec.claim_protocol`.
"""

import collections.abc
import typing

import automat

from mustardwood.claims import claim_command
from mustardwood.claims import claim_record

NextCommand = claim_command.Command | None
"""Command to carry out next; None when there is none."""


class ClaimData:
    """Data of the state machine.

    Attributes:
        state: Name of the current state.
        own_record: Record that this attempt stores or wants to store.
        other_record: Record of another attempt that was read, or None.
        revision: Last known revision of the stored own record; 0 when unknown.
    """

    def __init__(self, own_record: claim_record.ClaimRecord) -> None:
        self.state = "new"
        self.own_record = own_record
        self.other_record: claim_record.ClaimRecord | None = None
        self.revision = 0


class ClaimInputs(typing.Protocol):
    """Inputs of the state machine."""

    def start(self) -> NextCommand:
        """Starts to acquire the claim."""

    def written(self, revision: int) -> NextCommand:
        """The write took effect and set this revision (0: a delete)."""

    def conflicted(self) -> NextCommand:
        """The write had no effect because the revision differed."""

    def uncertain(self) -> NextCommand:
        """The response to the write was lost; it may have taken effect."""

    def unavailable(self) -> NextCommand:
        """The call failed without effect."""

    def read_own(self, record: claim_record.ClaimRecord,
                 revision: int) -> NextCommand:
        """The key holds this attempt's record, not yet the final one."""

    def read_final(self, record: claim_record.ClaimRecord,
                   revision: int) -> NextCommand:
        """The key holds the final record that this attempt wrote."""

    def read_other(self, record: claim_record.ClaimRecord) -> NextCommand:
        """The key holds the record of another attempt."""

    def read_absent(self) -> NextCommand:
        """The key is absent."""

    def give_up(self) -> NextCommand:
        """The time limit for acquiring the claim has passed."""

    def settle(self, record: claim_record.ClaimRecord) -> NextCommand:
        """The attempt ended; its final record is to be stored."""

    def release(self) -> NextCommand:
        """Nothing was sent; the claim is to be deleted."""

    def clean(self) -> NextCommand:
        """A record left by a late write is to be looked for."""


_Output = collections.abc.Callable[..., NextCommand]


def _create_record(data: ClaimData) -> NextCommand:
    return claim_command.Create(data.own_record)


def _read_record(_data: ClaimData) -> NextCommand:
    return claim_command.Read()


def _do_nothing(_data: ClaimData, *_arguments: object) -> NextCommand:
    return None


def _store_revision(data: ClaimData, revision: int) -> None:
    data.revision = revision


def _store_read_revision(data: ClaimData, _record: claim_record.ClaimRecord,
                         revision: int) -> None:
    data.revision = revision


def _store_other_record(data: ClaimData,
                        record: claim_record.ClaimRecord) -> None:
    data.other_record = record


def _replace_record(data: ClaimData,
                    record: claim_record.ClaimRecord) -> NextCommand:
    data.own_record = record
    return claim_command.Replace(data.own_record, data.revision)


def _retry_replace(data: ClaimData) -> NextCommand:
    return claim_command.Replace(data.own_record, data.revision)


def _replace_read_revision(data: ClaimData, _record: claim_record.ClaimRecord,
                           revision: int) -> NextCommand:
    data.revision = revision
    return claim_command.Replace(data.own_record, revision)


def _delete_record(data: ClaimData) -> NextCommand:
    return claim_command.Delete(data.revision)


def _delete_read_revision(data: ClaimData, _record: claim_record.ClaimRecord,
                          revision: int) -> NextCommand:
    data.revision = revision
    return claim_command.Delete(revision)


def _build_machine_factory(
) -> collections.abc.Callable[[ClaimData], ClaimInputs]:
    builder = automat.TypeMachineBuilder(ClaimInputs, ClaimData)
    states = {name: builder.state(name) for name in _STATES}

    def connect(source: str, event: typing.Any, target: str,
                output: _Output) -> None:

        def run(_inputs: ClaimInputs, data: ClaimData, *arguments:
                typing.Any) -> NextCommand:
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
"""Names of the states.

- ``new``: the attempt has not started.
- ``creating``: the record is being created.
- ``reading``: the create found a record, which is being read.
- ``resolving``: a create may have taken effect; the key is being read to find
  out whether it did.
- ``creating_again``: the key was absent after an uncertain create, and the
  record is being created again.
- ``refused``: the claim was not acquired and no write can take effect late.
- ``abandoned``: the claim was not acquired, but a create may still take effect
  late and leave a record of this attempt.
- ``cleaning``: the key is being read to find such a record.
- ``removing``: such a record is being deleted.
- ``held``: the attempt holds the claim and may be sent.
- ``settling``: the attempt ended and its final record is being written.
- ``confirming``: the write of the final record is being read back.
- ``settled``: the final record is stored, or the key no longer holds a record
  of this attempt.
- ``releasing``: nothing was sent and the record is being deleted.
- ``confirming_release``: the delete is being read back.
- ``released``: this attempt's record is no longer stored.
"""

_INPUTS = ClaimInputs
TRANSITIONS: tuple[tuple[str, typing.Any, str, _Output], ...] = (
    ("new", _INPUTS.start, "creating", _create_record),
    ("creating", _INPUTS.written, "held", _store_revision),
    ("creating", _INPUTS.conflicted, "reading", _read_record),
    ("creating", _INPUTS.uncertain, "resolving", _read_record),
    ("creating", _INPUTS.unavailable, "refused", _do_nothing),
    ("reading", _INPUTS.read_own, "held", _store_read_revision),
    ("reading", _INPUTS.read_other, "refused", _store_other_record),
    ("reading", _INPUTS.read_absent, "creating", _create_record),
    ("reading", _INPUTS.unavailable, "refused", _do_nothing),
    ("resolving", _INPUTS.read_own, "held", _store_read_revision),
    ("resolving", _INPUTS.read_other, "abandoned", _store_other_record),
    ("resolving", _INPUTS.read_absent, "creating_again", _create_record),
    ("resolving", _INPUTS.unavailable, "resolving", _read_record),
    ("creating_again", _INPUTS.written, "held", _store_revision),
    ("creating_again", _INPUTS.conflicted, "resolving", _read_record),
    ("creating_again", _INPUTS.uncertain, "resolving", _read_record),
    ("creating_again", _INPUTS.unavailable, "resolving", _read_record),
    ("creating", _INPUTS.give_up, "refused", _do_nothing),
    ("reading", _INPUTS.give_up, "refused", _do_nothing),
    ("resolving", _INPUTS.give_up, "abandoned", _do_nothing),
    ("creating_again", _INPUTS.give_up, "abandoned", _do_nothing),
    ("abandoned", _INPUTS.clean, "cleaning", _read_record),
    ("cleaning", _INPUTS.read_own, "removing", _delete_read_revision),
    ("cleaning", _INPUTS.read_other, "abandoned", _do_nothing),
    ("cleaning", _INPUTS.read_absent, "abandoned", _do_nothing),
    ("cleaning", _INPUTS.unavailable, "abandoned", _do_nothing),
    ("removing", _INPUTS.written, "abandoned", _do_nothing),
    ("removing", _INPUTS.conflicted, "abandoned", _do_nothing),
    ("removing", _INPUTS.uncertain, "abandoned", _do_nothing),
    ("removing", _INPUTS.unavailable, "abandoned", _do_nothing),
    ("held", _INPUTS.settle, "settling", _replace_record),
    ("settling", _INPUTS.written, "settled", _store_revision),
    ("settling", _INPUTS.conflicted, "confirming", _read_record),
    ("settling", _INPUTS.uncertain, "confirming", _read_record),
    ("settling", _INPUTS.unavailable, "settling", _retry_replace),
    ("confirming", _INPUTS.read_final, "settled", _store_read_revision),
    ("confirming", _INPUTS.read_own, "settling", _replace_read_revision),
    ("confirming", _INPUTS.read_other, "settled", _do_nothing),
    ("confirming", _INPUTS.read_absent, "settled", _do_nothing),
    ("confirming", _INPUTS.unavailable, "confirming", _read_record),
    ("held", _INPUTS.release, "releasing", _delete_record),
    ("releasing", _INPUTS.written, "released", _do_nothing),
    ("releasing", _INPUTS.conflicted, "confirming_release", _read_record),
    ("releasing", _INPUTS.uncertain, "confirming_release", _read_record),
    ("releasing", _INPUTS.unavailable, "releasing", _delete_record),
    ("confirming_release", _INPUTS.read_own, "releasing",
     _delete_read_revision),
    ("confirming_release", _INPUTS.read_other, "released", _do_nothing),
    ("confirming_release", _INPUTS.read_absent, "released", _do_nothing),
    ("confirming_release", _INPUTS.unavailable, "confirming_release",
     _read_record),
)
"""State, input, next state and output function of each transition."""

make_machine = _build_machine_factory()
"""Returns a state machine that works on the given `ClaimData`."""
