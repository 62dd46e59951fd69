"""What became of a request of the demo."""

import datetime
import enum

import msgspec


class OutcomeKind(enum.StrEnum):
    """How a request ended."""

    WHOLE = "whole"
    REFUSED = "refused"
    WRONG = "wrong"


class Outcome(msgspec.Struct, frozen=True):
    """The end of one request.

    Attributes:
        request_class: Its class.
        kind: How it ended.
        first_token: Time from the send to the first token of a streamed
            answer, and to the whole of another.
        explanation: What was wrong; empty for a whole answer.
    """

    request_class: str
    kind: OutcomeKind
    first_token: datetime.timedelta
    explanation: str = ""
