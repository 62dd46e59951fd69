"""Why a scheduler refuses an ask."""

import enum


class RefusalReason(enum.StrEnum):
    """The kinds of refusal."""

    QUEUE_FULL = "queue_full"
    DISPLACED = "displaced"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    UNKNOWN_CELL = "unknown_cell"
    STOPPING = "stopping"
