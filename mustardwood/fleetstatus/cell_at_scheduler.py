"""A cell as one scheduler reports it."""

import msgspec


class CellAtScheduler(msgspec.Struct, frozen=True):
    """A cell as one scheduler reports it.

    Attributes:
        queued: Number of queued requests.
        running: Number of running attempts.
        queue_delay_seconds: Expected queueing delay of a new request, in
            seconds.
    """

    queued: int = 0
    running: int = 0
    queue_delay_seconds: float = 0.0
