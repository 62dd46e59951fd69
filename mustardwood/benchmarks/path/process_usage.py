"""Processor time and memory of a process, read from ``/proc``."""

import os
import pathlib

_USER_FIELD = 11
"""Index of the user time in the fields after the process name in ``stat``."""

_SYSTEM_FIELD = 12
"""Index of the system time among the same fields."""


def read_cpu_seconds(pid: int) -> float:
    """Returns the processor time of all threads, with clock tick resolution.

    Args:
        pid: Id of the process.

    Raises:
        OSError: There is no such process.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii",
                                                       errors="replace")
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_rss_bytes(pid: int) -> int:
    """Returns the resident memory in bytes, shared pages included.

    Args:
        pid: Id of the process.

    Raises:
        OSError: There is no such process.
    """
    text = pathlib.Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")
