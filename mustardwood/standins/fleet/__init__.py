"""Stand-ins and VMs' worth of processes as children of a test or demo."""

from mustardwood.standins.fleet.child_process import ChildProcess
from mustardwood.standins.fleet.fleet import Fleet
from mustardwood.standins.fleet.fleet_error import FleetError

__all__ = ["ChildProcess", "Fleet", "FleetError"]
