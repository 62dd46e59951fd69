"""The outcome of a request of the demo."""

import datetime
import enum

import msgspec


class OutcomeKind(enum.StrEnum):
    """How a request ended.

    `WHOLE` stands for the complete, expected answer, `REFUSED` for status 429
    or 503, and `WRONG` for every other answer or failure.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    WRONG = "wrong"


class Outcome(msgspec.Struct, frozen=True):
    """The outcome of one request.

    Attributes:
        request_class: Class of the request.
        kind: How the request ended.
        first_token: Time from sending the request to the first token of a
            streamed answer, or to the end of any other response or failure.
        explanation: Description of the failure; empty for a whole answer.
    """

    request_class: str
    kind: OutcomeKind
    first_token: datetime.timedelta
    explanation: str = ""
