"""Planner of endpoints, which orders them as the demand changes.

The planner does no I/O.
"""

from mustardwood.scaling.scaling_parameters import ScalingParameters

__all__ = ["ScalingParameters"]
