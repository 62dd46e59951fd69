"""How an attempt ended."""

import enum


class Outcome(enum.StrEnum):
    """The kinds of end of an attempt."""

    WHOLE = "whole"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
