"""What a caller may send, and how long it may take."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Bounds on callers' connections.

    The defaults hold until the first configuration is known; they are those
    of the example configuration.

    Attributes:
        header_bytes: Longest head of a request.
        body_bytes: Longest body.
        header_time: Longest time for a head to arrive.
        idle_time: Longest time without bytes between or inside requests.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_time: datetime.timedelta = datetime.timedelta(seconds=15)
