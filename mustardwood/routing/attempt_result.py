"""What an endpoint's answer amounts to."""

import enum


class AttemptResult(enum.StrEnum):
    """How an attempt ended.

    `WHOLE` is a whole answer, `NOT_STARTED` a refusal before anything ran,
    `UNREACHABLE` a connection that failed before any byte was sent, `LOST` a
    connection lost after that, `BROKEN` an answer that is no whole answer,
    `RESUME_REFUSED` an engine that can't go on with the text so far, and
    `SILENT` an endpoint that sent nothing for too long.
    """

    WHOLE = "whole"
    NOT_STARTED = "not_started"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    BROKEN = "broken"
    RESUME_REFUSED = "resume_refused"
    SILENT = "silent"
