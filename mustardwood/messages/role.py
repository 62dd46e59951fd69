"""The processes that exchange messages."""

import enum


class Role(enum.StrEnum):
    """The kind of a process on an entry VM."""

    AGENT = "agent"
    SCHEDULER = "scheduler"
    ENTRY = "entry"
