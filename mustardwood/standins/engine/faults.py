"""Faults of the engine stand-in."""

import enum

import msgspec


class CrashMode(enum.StrEnum):
    """What happens at a crash: the process ends, or it only seems to."""

    EXIT = "exit"
    DROP = "drop"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What ``POST /switch`` can change; fields left out stay as they are.

    ``POST /switch`` also takes ``crash: true`` (crash now) and
    ``refuse_seconds`` (refuse new connections for that time).

    Attributes:
        straggle_factor: Factor on the time of each step.
        crash_mode: Whether a crash ends the process, or resets all connections
            and refuses new ones for a time.
        crash_seconds: That time.
        poison_word: A word that crashes the engine when a request whose body
            has it starts; empty for none.
        truncate_streams: How many of the next streams end early.
        truncate_after: Tokens after which they end.
        reset_streams: How many of the next streams are reset at that point.
        refuse_requests: How many of the next requests are refused before
            their start.
        resumes: Whether it can resume an answer.
        cross_events: How many of the next events come with another stream's
            event before them.
        cross_ids: How many of the next events carry another stream's id.
        late_events: How many of the next events come with an event of an
            attempt that has ended before them.
        repeat_events: How many of the next events are sent twice.
    """

    straggle_factor: float = 1.0
    crash_mode: CrashMode = CrashMode.DROP
    crash_seconds: float = 1.0
    poison_word: str = ""
    truncate_streams: int = 0
    truncate_after: int = 3
    reset_streams: int = 0
    refuse_requests: int = 0
    resumes: bool = True
    cross_events: int = 0
    cross_ids: int = 0
    late_events: int = 0
    repeat_events: int = 0
