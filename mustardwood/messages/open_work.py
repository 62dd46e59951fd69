"""The open work of an entry in a cell."""

import msgspec

from mustardwood.messages import ask
from mustardwood.messages import running_attempt


class OpenWork(msgspec.Struct, frozen=True, tag="open_work"):
    """Heartbeat of an entry to the owner of a cell, with all its open work.

    The list is complete, and repeating it has no effect. The owner removes the
    work of this entry that the list doesn't contain, because that has ended,
    and adds the work that it doesn't know. A new owner rebuilds its state from
    these heartbeats.

    Attributes:
        cell: Name of the cell.
        sequence: Number that grows with each heartbeat of the sender for the
            cell.
        waiting: Asks that were neither granted nor refused yet.
        running: Attempts that are running.
    """

    cell: str
    sequence: int
    waiting: tuple[ask.Ask, ...] = ()
    running: tuple[running_attempt.RunningAttempt, ...] = ()
