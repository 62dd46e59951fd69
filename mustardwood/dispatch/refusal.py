"""Answers of the router's own."""

import dataclasses
import datetime
import http


@dataclasses.dataclass(frozen=True)
class Refusal:
    """An answer that no endpoint gave.

    Attributes:
        status: HTTP status.
        message: What was missing and what to do, for the caller.
        retry_after: When to come back; None where that does not help.
    """

    status: http.HTTPStatus
    message: str
    retry_after: datetime.timedelta | None = None
