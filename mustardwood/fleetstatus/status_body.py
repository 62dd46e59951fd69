"""The answer of an agent to ``GET /v1/status``."""

import msgspec

from mustardwood.fleetstatus import cell_row
from mustardwood.fleetstatus import endpoint_row
from mustardwood.fleetstatus import vm_row


class StatusBody(msgspec.Struct, frozen=True):
    """The status of the fleet, as one agent sees it.

    Attributes:
        version: Configuration version in force at the agent that answers.
        vms: The VMs.
        unanswered: Names of VMs that did not answer.
        cells: The cells.
        endpoints: The endpoints.
    """

    version: int
    vms: tuple[vm_row.VmRow, ...] = ()
    unanswered: tuple[str, ...] = ()
    cells: tuple[cell_row.CellRow, ...] = ()
    endpoints: tuple[endpoint_row.EndpointRow, ...] = ()
