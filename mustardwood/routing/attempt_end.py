"""Ways in which an HTTP exchange with an endpoint can end."""

import enum


class AttemptEnd(enum.StrEnum):
    """How the exchange with an endpoint ended.

    `COMPLETE` is the regular end of the HTTP response, `NOT_SENT` a connection
    that failed before any byte was sent, `LOST` a connection lost after that,
    and `MALFORMED` a response that can't be parsed.
    """

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    LOST = "lost"
    MALFORMED = "malformed"
