"""The processes that exchange messages."""

import enum


class Role(enum.StrEnum):
    """A process on an entry VM."""

    AGENT = "agent"
    SCHEDULER = "scheduler"
    ENTRY = "entry"
