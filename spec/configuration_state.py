"""State of the configuration specification."""

import typing

VMS = (0, 1)
"""Indices of the two VMs; an operator may apply at each."""

Document = tuple[int, int]
"""Version and apply id of a document; (0, 0) for no document."""

NONE: Document = (0, 0)
"""No document."""

BASE: Document = (1, 0)
"""The initial document, to which a restore of the platform returns."""


class Vm(typing.NamedTuple):
    """A VM with its operator.

    Attributes:
        in_force: Document in force; `NONE` while the VM boots.
        is_booting: Whether the VM has restarted and has not yet received the
            documents of both the platform and its neighbour.
        inbox: Neighbour's document that was sent but not processed, or None.
        read_document: Platform's document that was read but not processed, or
            None.
        is_read_current: Whether the revision read is still the platform's.
        pending_repair: Document to be written back to the platform, or None.
        is_repair_current: Whether the revision that the repair replaces is
            still the platform's.
        max_version: Highest version that was ever in force at this VM.
        apply_state: State of the operator's apply, named as in
            `replication.apply_machine`.
        is_base_current: Whether the revision that the apply read is still the
            platform's.
        apply_version: Version that the apply writes.
        has_late_write: Whether a write of the apply without a response may
            still take effect.
    """

    in_force: Document = BASE
    is_booting: bool = False
    inbox: Document | None = None
    read_document: Document | None = None
    is_read_current: bool = False
    pending_repair: Document | None = None
    is_repair_current: bool = False
    max_version: int = 1
    apply_state: str = "new"
    is_base_current: bool = False
    apply_version: int = 0
    has_late_write: bool = False


class State(typing.NamedTuple):
    """The state of the protocol.

    Attributes:
        first: The first VM.
        second: The second VM.
        platform: The platform's document.
        restored: Whether the platform was restored to an older state.
        restarts: Number of restarts so far.
        accepted: Highest version that was reported to an operator as applied.
        denied: Whether an apply was reported as not written or lost although
            it took effect.
        low: Whether an apply chose a version that is not above the one in
            force at its VM.
    """

    first: Vm = Vm()
    second: Vm = Vm()
    platform: Document = BASE
    restored: bool = False
    restarts: int = 0
    accepted: int = 1
    denied: bool = False
    low: bool = False


def get_vm(state: State, i: int) -> Vm:
    """Returns the VM with index `i`."""
    return state.first if i == 0 else state.second


def replace_vm(state: State, i: int, **changes: typing.Any) -> State:
    """Returns the state with fields of VM `i` changed."""
    vm = get_vm(state, i)._replace(**changes)
    if i == 0:
        return state._replace(first=vm)
    return state._replace(second=vm)


def adopt_document(state: State, i: int, document: Document) -> State:
    """Returns the state after a document was put in force at VM `i`."""
    max_version = max(get_vm(state, i).max_version, document[0])
    return replace_vm(state, i, in_force=document, max_version=max_version)


def write_platform(state: State, document: Document) -> State:
    """Returns the state after a write of the platform's document.

    Revisions read before no longer match, so pending writes have no effect.
    """
    for i in VMS:
        state = replace_vm(state,
                           i,
                           is_read_current=False,
                           is_repair_current=False,
                           is_base_current=False,
                           has_late_write=False)
        lost = get_vm(state, i).apply_state in ("lost", "not_written")
        if lost and document[1] == i + 1 and not state.denied:
            state = state._replace(denied=True)
    return state._replace(platform=document)
