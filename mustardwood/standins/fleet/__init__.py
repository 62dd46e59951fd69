"""Runs the processes of a fleet as child processes of a test or the demo."""

from mustardwood.standins.fleet.child_process import ChildProcess
from mustardwood.standins.fleet.fleet import Fleet
from mustardwood.standins.fleet.fleet_error import FleetError

__all__ = ["ChildProcess", "Fleet", "FleetError"]
