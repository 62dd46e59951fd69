"""Phases of a request."""

import enum


class RequestPhase(enum.StrEnum):
    """Where a request stands between its arrival and its final answer."""

    ARRIVED = "arrived"
    CLAIMING = "claiming"
    ASKING = "asking"
    SENDING = "sending"
    STREAMING = "streaming"
    DELAYED = "delayed"
    COMPLETING = "completing"
    ENDED = "ended"
