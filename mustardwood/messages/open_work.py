"""An entry's open work in a cell."""

import msgspec

from mustardwood.messages import ask
from mustardwood.messages import running_attempt


class OpenWork(msgspec.Struct, frozen=True, tag="open_work"):
    """Heartbeat of an entry to a cell's owner, with all of its open work.

    It is complete and idempotent: work that the owner holds for this entry and
    that is missing here has ended, and work that the owner does not know is
    taken over from here. A new owner rebuilds its state from these.

    Attributes:
        cell: Name of the cell.
        sequence: Grows with each message of the sender for the cell.
        waiting: Asks without an answer.
        running: Attempts under way.
    """

    cell: str
    sequence: int
    waiting: tuple[ask.Ask, ...] = ()
    running: tuple[running_attempt.RunningAttempt, ...] = ()
