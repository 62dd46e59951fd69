"""A scheduler's answer to a heartbeat."""

import datetime

import msgspec


class OpenWorkReply(msgspec.Struct, frozen=True, tag="open_work_reply"):
    """Shows an entry that a cell's owner is alive.

    Attributes:
        cell: Name of the cell.
        sequence: Sequence number of the heartbeat that is answered.
        queue_delay: Present delay of the cell's queue.
        learning: Whether the owner is still rebuilding its state.
    """

    cell: str
    sequence: int
    queue_delay: datetime.timedelta
    learning: bool = False
