"""A report that a scheduler timed out."""

import msgspec


class SchedulerTimeout(msgspec.Struct, frozen=True, tag="silence"):
    """Reports to the local agent that a scheduler did not reply in time.

    Attributes:
        vm: Name of the VM.
        cell: Name of the cell that the unanswered message was about.
    """

    vm: str
    cell: str
