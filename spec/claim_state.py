"""State of the claim specification."""

import typing

ATTEMPTS = (0, 1)
"""Indices of the two attempts."""


class Attempt(typing.NamedTuple):
    """An attempt to send the request.

    Attributes:
        phase: State, named as in `claims.claim_machine`, or ``dead`` after a
            crash.
        is_sent: Whether the request was sent to an endpoint.
        has_late_create: Whether a create without a response may still take
            effect.
        pending_write: ``delete`` or ``replace`` if such a write without a
            response may still take effect, else empty. It would, as its
            expected revision is still the stored one.
        knows_revision: Whether the attempt knows the revision of the stored
            record.
        target_record: State of the final record that the attempt stores.
        age: 0 before the deadline, 1 after it, and 2 after the claim expired.
        reported: Outcome that the caller was told; empty for none.
    """

    phase: str = "new"
    is_sent: bool = False
    has_late_create: bool = False
    pending_write: str = ""
    knows_revision: bool = False
    target_record: str = ""
    age: int = 0
    reported: str = ""


class State(typing.NamedTuple):
    """The state of the protocol.

    Attributes:
        first: The first attempt.
        second: The second attempt.
        owner: Index of the attempt whose record is stored; -1 when the key is
            absent.
        record: State of the stored record.
        runs: Number of sends since a claim last expired.
        completed: Index of the attempt whose response was stored, or -1.
    """

    first: Attempt = Attempt()
    second: Attempt = Attempt()
    owner: int = -1
    record: str = ""
    runs: int = 0
    completed: int = -1


def get_attempt(state: State, i: int) -> Attempt:
    """Returns the attempt with index `i`."""
    return state.first if i == 0 else state.second


def replace_attempt(state: State, i: int, **changes: typing.Any) -> State:
    """Returns the state with fields of attempt `i` changed."""
    attempt = get_attempt(state, i)._replace(**changes)
    if i == 0:
        return state._replace(first=attempt)
    return state._replace(second=attempt)


def write_record(state: State, owner: int, record: str,
                 knows_revision: bool) -> State:
    """Returns the state after a write of the key.

    Pending writes can no longer take effect, as the revision has changed.

    Args:
        state: State before the write.
        owner: Index of the attempt whose record is written; -1 for a delete.
        record: State of the written record.
        knows_revision: Whether the owner learns the new revision.
    """
    for i in ATTEMPTS:
        state = replace_attempt(state,
                                i,
                                pending_write="",
                                knows_revision=i == owner and knows_revision)
    if record == "completed":
        state = state._replace(completed=owner)
    return state._replace(owner=owner, record=record)
