"""Stand-in of a plain service."""

from mustardwood.standins.service.faults import Faults

__all__ = ["Faults"]
