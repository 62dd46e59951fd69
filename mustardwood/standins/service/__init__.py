"""Stand-in for a plain service: an HTTP service that is not a model."""

from mustardwood.standins.service.faults import Faults

__all__ = ["Faults"]
