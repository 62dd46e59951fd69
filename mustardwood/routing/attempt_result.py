"""Results of an attempt."""

import enum


class AttemptResult(enum.StrEnum):
    """The result of an attempt.

    `WHOLE` is a complete response, `NOT_STARTED` a refusal before anything ran,
    `UNREACHABLE` a connection that failed before any byte was sent, `LOST` a
    connection lost after that, `BROKEN` an incomplete or invalid response,
    `RESUME_REFUSED` an engine that can't continue from the text generated so
    far, and `SILENT` an endpoint that sent nothing until the timeout.
    """

    WHOLE = "whole"
    NOT_STARTED = "not_started"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    BROKEN = "broken"
    RESUME_REFUSED = "resume_refused"
    SILENT = "silent"
