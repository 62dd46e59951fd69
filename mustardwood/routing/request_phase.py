"""Phases of a request in the router."""

import enum


class RequestPhase(enum.StrEnum):
    """The phase of a request between its arrival and its final response.

    A request waits for the claim of its idempotency key while `CLAIMING`, for a
    scheduler's grant while `ASKING`, for the response while `SENDING`, for the
    backoff before a retry while `DELAYED`, and for its response to be stored
    while `COMPLETING`.
    """

    ARRIVED = "arrived"
    CLAIMING = "claiming"
    ASKING = "asking"
    SENDING = "sending"
    STREAMING = "streaming"
    DELAYED = "delayed"
    COMPLETING = "completing"
    ENDED = "ended"
