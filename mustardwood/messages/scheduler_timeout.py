"""A report that a scheduler timed out."""

import msgspec


class SchedulerTimeout(msgspec.Struct, frozen=True, tag="silence"):
    """Reports to the local agent that a scheduler did not reply in time.

    Attributes:
        vm: Name of the scheduler's VM.
        cell: Name of the cell that the unanswered message concerned.
    """

    vm: str
    cell: str
