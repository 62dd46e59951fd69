"""The outcome of an attempt."""

import enum


class Outcome(enum.StrEnum):
    """How an attempt ended.

    `WHOLE` is a complete response, `REFUSED` a refusal by the endpoint,
    `UNREACHABLE` a connection that failed before any byte was sent, `BROKEN` a
    lost connection or an incomplete or invalid response, `TIMED_OUT` an
    endpoint that sent nothing until the timeout, and `CANCELLED` an attempt
    that the entry stopped.
    """

    WHOLE = "whole"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
