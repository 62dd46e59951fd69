"""Faults that the engine stand-in can show."""

import enum

import msgspec


class CrashMode(enum.StrEnum):
    """What a crash does.

    `EXIT` ends the process. `DROP` keeps it running, but resets all connections
    and refuses new ones for a time.
    """

    EXIT = "exit"
    DROP = "drop"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fields of ``POST /switch``; omitted fields keep their values.

    ``POST /switch`` also accepts ``crash: true``, to crash at once, and
    ``refuse_seconds``, to refuse new connections for that time.

    Attributes:
        straggle_factor: Factor that multiplies the duration of each step, to
            make the engine slow.
        crash_mode: Whether a crash ends the process, or resets all connections
            and refuses new ones for `crash_seconds`.
        crash_seconds: How long new connections are refused after a crash that
            does not end the process.
        poison_word: The engine crashes in the first step of a request whose
            body contains this word; empty for none.
        truncate_streams: How many of the next streams end early, without
            finish reason and end mark.
        truncate_after: Number of tokens after which `truncate_streams` and
            `reset_streams` take effect.
        reset_streams: How many of the next streams have their connection
            reset after `truncate_after` tokens.
        refuse_requests: How many of the next requests are refused before
            their start, with status 503 and ``x-not-started``.
        resumes: Whether the engine supports resuming an answer; if not, it
            answers such a request with status 409.
        cross_events: How many of the next events are preceded by an event of
            another stream in the same response.
        cross_ids: How many of the next events carry the id of another stream.
        late_events: How many of the next events are preceded by an event of an
            attempt that has already ended.
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
