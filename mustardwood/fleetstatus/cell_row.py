"""The status of a cell."""

import msgspec

from mustardwood.fleetstatus import cell_at_scheduler


class CellRow(msgspec.Struct, frozen=True):
    """The status of a cell.

    Attributes:
        cell: Name.
        owner: VM whose scheduler should decide; None when no VM is alive.
        endpoints: Names of its endpoints.
        schedulers: What each VM's scheduler reports, by name of VM; a
            scheduler that was never asked about the cell is missing.
    """

    cell: str
    owner: str | None
    endpoints: tuple[str, ...]
    schedulers: dict[str, cell_at_scheduler.CellAtScheduler]
