"""Error responses that the router itself generates."""

import dataclasses
import datetime
import http


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An error response of the router, not of an endpoint.

    Attributes:
        status: HTTP status.
        message: The cause and the remedy, for the caller.
        retry_after: Delay before a retry; None where a retry does not help.
    """

    status: http.HTTPStatus
    message: str
    retry_after: datetime.timedelta | None = None
