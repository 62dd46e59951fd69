"""Order in which waiting requests are granted."""

import collections.abc
import datetime

from mustardwood.scheduling import cell_state
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest


def pick_request(state: cell_state.CellState,
                 blocked: collections.abc.Container[str],
                 now: datetime.timedelta) -> _Waiting | None:
    """Returns the request to grant next.

    Classes that must get a grant to prevent starvation go first. After them the
    most urgent tier goes first and, within a tier, the class whose oldest
    request has the earliest first-token target. Within a class the organisation
    with the earliest start tag goes first.

    Args:
        state: State of the cell.
        blocked: Classes that can't start on any endpoint now.
        now: Monotonic time.

    Returns:
        The request; None if no class is left.
    """
    names = [
        name for name in state.queue.list_backlogged_classes()
        if name not in blocked
    ]
    if not names:
        return None
    due = [
        name for name in names if state.starvation_prevention.is_due(name, now)
    ]
    name = min(due or names, key=lambda each: _get_urgency(state, each))
    return state.queue.find_class(name).find_next(now)


def _get_urgency(state: cell_state.CellState,
                 name: str) -> tuple[int, datetime.timedelta, str]:
    oldest = state.queue.find_class(name).oldest
    return oldest.tier, oldest.first_token_due_at, name
