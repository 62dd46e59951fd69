"""Faults of the service stand-in."""

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What ``POST /switch`` can change; fields left out stay as they are.

    Attributes:
        slow_seconds: Time that each call takes.
        crash_answers: How many of the next calls run and are reset in the
            middle of their answer.
        lose_answers: How many of the next calls run and are reset before
            their answer.
        refuse_calls: How many of the next calls are refused before they run.
    """

    slow_seconds: float = 0.0
    crash_answers: int = 0
    lose_answers: int = 0
    refuse_calls: int = 0
