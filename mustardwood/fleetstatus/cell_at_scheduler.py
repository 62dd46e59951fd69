"""A cell as one scheduler reports it."""

import msgspec


class CellAtScheduler(msgspec.Struct, frozen=True):
    """A cell as one scheduler reports it.

    Attributes:
        queued: Requests that wait.
        running: Attempts that run.
        queue_delay_seconds: Expected wait of a new request.
    """

    queued: int = 0
    running: int = 0
    queue_delay_seconds: float = 0.0
