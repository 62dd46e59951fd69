"""Faults that the service stand-in can show."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of ``POST /switch``; omitted fields keep their values.

    Attributes:
        slow_seconds: Delay before each call is answered, in seconds.
        crash_answers: How many of the next calls are executed, but have their
            connection reset in the middle of the response.
        lose_answers: How many of the next calls are executed, but have their
            connection reset before the response.
        refuse_calls: How many of the next calls are refused with status 503
            and ``x-not-started`` and not executed.
    """

    slow_seconds: float = 0.0
    crash_answers: int = 0
    lose_answers: int = 0
    refuse_calls: int = 0
