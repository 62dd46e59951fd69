"""Limits on the size and the duration of requests from callers."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class ConnectionLimits:
    """Size limits and timeouts of callers' connections.

    The defaults apply until the first configuration has been read; they are
    those of the example configuration.

    Attributes:
        max_header_bytes: Maximum size of a request line with its headers.
        max_body_bytes: Maximum size of a request's body.
        header_timeout: Maximum time from the first byte of a request until its
            headers are complete.
        idle_timeout: Maximum time without received bytes, between requests or
            within a request's body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: datetime.timedelta = datetime.timedelta(seconds=3)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=15)
