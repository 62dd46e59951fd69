"""Exit codes of the programs."""

import enum


class ExitCode(enum.IntEnum):
    """What a program's exit code means.

    `FAILED` stands for a failure that the message explains, `USAGE` for a
    wrong command line or settings file, `CONFLICT` for a lost race with
    another operator, `LAGGING` for a configuration that is accepted but not
    yet in force everywhere, and `UNREACHABLE` for a fleet that can't be
    reached.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    LAGGING = 4
    UNREACHABLE = 5
