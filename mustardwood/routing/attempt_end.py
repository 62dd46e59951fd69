"""The end of an attempt as its client saw it."""

import enum


class AttemptEnd(enum.StrEnum):
    """How the exchange with an endpoint ended.

    `COMPLETE` is the regular end of the HTTP answer, `NOT_SENT` a connection
    that failed before any byte was sent, `LOST` a connection lost after that,
    and `MALFORMED` an answer that can't be read.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    LOST = "lost"
    MALFORMED = "malformed"
