"""State of the leadership specification."""

import typing

VMS = (0, 1)
"""Indices of the two VMs."""

NOBODY = -1
"""Owner of a key that does not exist."""

LEASE = 2
"""Ticks of a lease."""

CALL = 1
"""Largest number of ticks for which a duty call is in flight."""

WAIT = CALL + 1
"""Ticks for which the term of a successor does not act.

The tick in which the wait begins may be nearly over, so it does not count.
"""

Token = tuple[int, int]
"""Era and revision of the write that began a term."""

NO_TOKEN: Token = (-1, -1)
"""Token of no term."""


class Vm(typing.NamedTuple):
    """A VM.

    Attributes:
        phase: "idle", "writing" (the key was written under a lease, with an
            unknown result) or "holding".
        era: The era that the VM knows.
        left: Ticks for which it may still rely on its lease.
        token: Token of its term.
        quiet: Ticks until its term may act.
        floor: Ticks until it may acquire the term in a new era.
        window: Ticks in which it may acquire the term again at once, since it
            held the term when the store was restored.
        renewal: Ticks since a pending renewal was sent; -1 if there is none.
        is_renewed: Whether the store has executed that renewal.
        has_late_write: Whether a write without an answer may take effect.
        call: Token of its duty call that is in flight, or `NO_TOKEN`.
        call_age: Ticks since that call was sent.
    """

    phase: str = "idle"
    era: int = 0
    left: int = 0
    token: Token = NO_TOKEN
    quiet: int = 0
    floor: int = 0
    window: int = 0
    renewal: int = -1
    is_renewed: bool = False
    has_late_write: bool = False
    call: Token = NO_TOKEN
    call_age: int = 0


class State(typing.NamedTuple):
    """The state of the protocol.

    Attributes:
        first: The first VM.
        second: The second VM.
        era: The store's era.
        revision: The store's revision.
        owner: VM whose name the key holds; `NOBODY` if there is no key.
        key_revision: Revision at which the key was written.
        leases: Ticks left of each VM's lease in the store.
        received: Highest token that the API has received, with its sender.
        was_lower: Whether it has received a lower token after a higher one.
        was_shared: Whether two VMs have sent the same token.
    """

    first: Vm = Vm()
    second: Vm = Vm()
    era: int = 0
    revision: int = 0
    owner: int = NOBODY
    key_revision: int = 0
    leases: tuple[int, int] = (0, 0)
    received: tuple[Token, int] = (NO_TOKEN, NOBODY)
    was_lower: bool = False
    was_shared: bool = False


def get_vm(state: State, i: int) -> Vm:
    """Returns the VM with index `i`."""
    return state.first if i == 0 else state.second


def replace_vm(state: State, i: int, **changes: typing.Any) -> State:
    """Returns the state with fields of VM `i` changed."""
    vm = get_vm(state, i)._replace(**changes)
    if i == 0:
        return state._replace(first=vm)
    return state._replace(second=vm)


def set_lease(state: State, i: int, ticks: int) -> State:
    """Returns the state after VM `i`'s lease has changed in the store.

    A lease that has ended removes the key written under it.
    """
    leases = (ticks, state.leases[1]) if i == 0 else (state.leases[0], ticks)
    state = state._replace(leases=leases)
    if ticks == 0 and state.owner == i:
        state = state._replace(owner=NOBODY, key_revision=0)
    return state
