"""Evidence that a process does not answer."""

import msgspec


class SchedulerTimeout(msgspec.Struct, frozen=True, tag="silence"):
    """Tells the local agent that a VM's scheduler did not answer in time.

    Attributes:
        vm: Name of the VM.
        cell: Name of the cell that was asked for.
    """

    vm: str
    cell: str
