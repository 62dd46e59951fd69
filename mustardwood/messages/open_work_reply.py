"""The reply of a scheduler to a heartbeat."""

import datetime

import msgspec


class OpenWorkReply(msgspec.Struct, frozen=True, tag="open_work_reply"):
    """Confirms to an entry that the owner of a cell is alive.

    Attributes:
        cell: Name of the cell.
        sequence: Sequence number of the heartbeat.
        queue_delay: Estimated delay of the cell's queue.
        learning: Whether the owner is still rebuilding its state from
            heartbeats.
    """

    cell: str
    sequence: int
    queue_delay: datetime.timedelta
    learning: bool = False
