"""State of the specification of claims."""

import typing

ATTEMPTS = (0, 1)
"""The attempts."""


class Attempt(typing.NamedTuple):
    """An attempt.

    Attributes:
        phase: State, named as in the code's state machine, or `dead`.
        sent: Whether the request was sent to an endpoint.
        late: Whether a create is on its way with its answer given up.
        final: A delete or replace on its way that would still match.
        known: Whether the known revision is that of the stored record.
        want: Final state to be stored.
        age: 0, then 1 after the deadline, then 2 after the retention.
        told: What the caller was told.
    """

    phase: str = "new"
    sent: bool = False
    late: bool = False
    final: str = ""
    known: bool = False
    want: str = ""
    age: int = 0
    told: str = ""


class State(typing.NamedTuple):
    """The whole state.

    Attributes:
        first: The first attempt.
        second: The second attempt.
        owner: Attempt whose record the key holds; -1 when absent.
        record: State of the stored record.
        runs: Sends since the key was last forgotten by retention.
        completed: Attempt whose completed answer was stored, or -1.
    """

    first: Attempt = Attempt()
    second: Attempt = Attempt()
    owner: int = -1
    record: str = ""
    runs: int = 0
    completed: int = -1


def get(state: State, i: int) -> Attempt:
    """Returns attempt `i`."""
    return state.first if i == 0 else state.second


def put(state: State, i: int, **changes: typing.Any) -> State:
    """Returns the state with attempt `i` changed."""
    attempt = get(state, i)._replace(**changes)
    if i == 0:
        return state._replace(first=attempt)
    return state._replace(second=attempt)


def store(state: State, owner: int, record: str, known: bool) -> State:
    """Writes the key; other writes on their way no longer match."""
    for i in ATTEMPTS:
        state = put(state, i, final="", known=i == owner and known)
    if record == "completed":
        state = state._replace(completed=owner)
    return state._replace(owner=owner, record=record)
