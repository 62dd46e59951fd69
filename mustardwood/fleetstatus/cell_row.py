"""The status of a cell."""

import msgspec

from mustardwood.fleetstatus import cell_at_scheduler


class CellRow(msgspec.Struct, frozen=True):
    """The status of a cell.

    Attributes:
        cell: Name of the cell.
        owner: VM whose scheduler should schedule the cell's requests; None if
            no VM is alive.
        endpoints: Names of the cell's endpoints.
        schedulers: State of the cell at each scheduler, by name of the
            scheduler's VM. A scheduler that never received a request for the
            cell is missing.
    """

    cell: str
    owner: str | None
    endpoints: tuple[str, ...]
    schedulers: dict[str, cell_at_scheduler.CellAtScheduler]
