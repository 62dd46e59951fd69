"""The order in which waiting requests are granted."""

import collections.abc
import datetime

from mustardwood.scheduling import cell_state
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest


def pick_request(state: cell_state.CellState,
                 blocked: collections.abc.Container[str],
                 now: datetime.timedelta) -> _Waiting | None:
    """Returns the request that goes next.

    Classes that are owed a grant go first. Then the highest tier goes, in it
    the class with the earliest target, and in it the organisation whose share
    is due.

    Args:
        state: The cell.
        blocked: Classes that no endpoint can take now.
        now: The time.

    Returns:
        The request, or None when no class is left.
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
