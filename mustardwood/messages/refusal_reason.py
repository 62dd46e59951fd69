"""The reasons for which a scheduler refuses an ask."""

import enum


class RefusalReason(enum.StrEnum):
    """Why a scheduler refused an ask.

    `QUEUE_FULL` means that the queue is full of requests that are not less
    urgent, `DISPLACED` that a more urgent request took the place of this one in
    the full queue, `DEADLINE` that the request can't meet its deadline,
    `NO_ENDPOINT` that no endpoint can run it, `UNKNOWN_CELL` that the scheduler
    doesn't own the cell, and `STOPPING` that it is shutting down.
    """

    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN_CELL = "unknown_cell"
    STOPPING = "stopping"
