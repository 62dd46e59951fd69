"""The body of an agent's response to ``GET /v1/status``."""

import msgspec

from mustardwood.fleetstatus import cell_row
from mustardwood.fleetstatus import endpoint_row
from mustardwood.fleetstatus import vm_row


class StatusBody(msgspec.Struct, frozen=True):
    """The status of the fleet as one agent reports it.

    Attributes:
        version: Configuration version in force at the responding agent.
        vms: Status of each VM.
        unanswered: Names of the VMs that did not answer.
        cells: Status of each cell.
        endpoints: Status of each endpoint.
    """

    version: int
    vms: tuple[vm_row.VmRow, ...] = ()
    unanswered: tuple[str, ...] = ()
    cells: tuple[cell_row.CellRow, ...] = ()
    endpoints: tuple[endpoint_row.EndpointRow, ...] = ()
