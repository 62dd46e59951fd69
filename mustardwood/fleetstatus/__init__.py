"""The fleet's status, which agents return and the command line prints."""

from mustardwood.fleetstatus.cell_at_scheduler import CellAtScheduler
from mustardwood.fleetstatus.cell_row import CellRow
from mustardwood.fleetstatus.endpoint_at_scheduler import EndpointAtScheduler
from mustardwood.fleetstatus.endpoint_row import EndpointRow
from mustardwood.fleetstatus.status_body import StatusBody
from mustardwood.fleetstatus.versions import Versions
from mustardwood.fleetstatus.vm_row import VmRow

__all__ = [
    "CellAtScheduler",
    "CellRow",
    "EndpointAtScheduler",
    "EndpointRow",
    "StatusBody",
    "Versions",
    "VmRow",
]
