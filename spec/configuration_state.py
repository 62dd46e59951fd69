"""State of the specification of configuration versions."""

import typing

VMS = (0, 1)
"""The VMs; an operator applies at each."""

Document = tuple[int, int]
"""Version and apply id; (0, 0) for none."""

NONE: Document = (0, 0)
"""No document."""

BASE: Document = (1, 0)
"""The document at the start, which a restore brings back."""


class Vm(typing.NamedTuple):
    """A VM with its operator.

    Attributes:
        in_force: Document in force; none while it boots.
        booting: Whether platform and neighbour were not both heard since the
            restart.
        inbox: Neighbour's document on its way, or None.
        seen: Platform's document as last read, or None.
        seen_fresh: Whether the revision read is still the platform's.
        repair: Document to be written back to the platform, or None.
        repair_fresh: Whether the repair's revision is still the platform's.
        floor: Highest version that was ever in force here.
        apply: State of the operator's apply, as in the code.
        base_fresh: Whether the revision that the apply read is the platform's.
        version: Version that the apply writes.
        late: Whether a write of the apply may still take effect.
    """

    in_force: Document = BASE
    booting: bool = False
    inbox: Document | None = None
    seen: Document | None = None
    seen_fresh: bool = False
    repair: Document | None = None
    repair_fresh: bool = False
    floor: int = 1
    apply: str = "new"
    base_fresh: bool = False
    version: int = 0
    late: bool = False


class State(typing.NamedTuple):
    """The whole state.

    Attributes:
        first: The first VM.
        second: The second VM.
        platform: The platform's document.
        restored: Whether the platform came back with an older state.
        restarts: Restarts so far.
        accepted: Highest version that an operator was told to be applied.
        denied: Whether an apply was told not written or lost, but took effect.
        low: Whether an apply chose a version that was in force before.
    """

    first: Vm = Vm()
    second: Vm = Vm()
    platform: Document = BASE
    restored: bool = False
    restarts: int = 0
    accepted: int = 1
    denied: bool = False
    low: bool = False


def get(state: State, i: int) -> Vm:
    """Returns VM `i`."""
    return state.first if i == 0 else state.second


def put(state: State, i: int, **changes: typing.Any) -> State:
    """Returns the state with VM `i` changed."""
    vm = get(state, i)._replace(**changes)
    if i == 0:
        return state._replace(first=vm)
    return state._replace(second=vm)


def adopt(state: State, i: int, document: Document) -> State:
    """Puts a document in force at VM `i`; keeps the highest version seen."""
    floor = max(get(state, i).floor, document[0])
    return put(state, i, in_force=document, floor=floor)


def write(state: State, document: Document) -> State:
    """Writes the platform's key; no earlier revision matches any more."""
    for i in VMS:
        state = put(state,
                    i,
                    seen_fresh=False,
                    repair_fresh=False,
                    base_fresh=False,
                    late=False)
        lost = get(state, i).apply in ("lost", "not_written")
        if lost and document[1] == i + 1 and not state.denied:
            state = state._replace(denied=True)
    return state._replace(platform=document)
