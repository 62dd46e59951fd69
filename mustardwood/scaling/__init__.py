"""Planner of endpoints, which orders them as the demand changes.

The planner does no I/O. `scaling_duty` is not imported here: `dispatch` uses
the parameters of this package, and the duty uses interfaces of `dispatch`.
"""

from mustardwood.scaling.demand_forecast import DemandForecast
from mustardwood.scaling.demand_history import DemandHistory
from mustardwood.scaling.endpoint_group import EndpointGroup
from mustardwood.scaling.endpoint_planner import EndpointPlanner
from mustardwood.scaling.planned_order import OrderReason
from mustardwood.scaling.planned_order import PlannedOrder
from mustardwood.scaling.present_endpoint import PresentEndpoint
from mustardwood.scaling.scaling_parameters import ScalingParameters
from mustardwood.scaling.service_state import ServiceState

__all__ = [
    "DemandForecast",
    "DemandHistory",
    "EndpointGroup",
    "EndpointPlanner",
    "OrderReason",
    "PlannedOrder",
    "PresentEndpoint",
    "ScalingParameters",
    "ServiceState",
]
