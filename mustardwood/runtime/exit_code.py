"""Exit codes of the programs."""

import enum


class ExitCode(enum.IntEnum):
    """The exit code of a program.

    `FAILED` is a failure that the message explains, `USAGE` an invalid command
    line or settings file, `CONFLICT` a change that failed because another
    operator made one at the same time, `LAGGING` a configuration that is
    accepted but not yet in force everywhere, and `UNREACHABLE` a fleet that
    can't be reached.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    LAGGING = 4
    UNREACHABLE = 5
