"""Election of the one VM that carries out duties, and its terms."""

from mustardwood.leadership.call_outcome import CallOutcome
from mustardwood.leadership.call_result import CallResult
from mustardwood.leadership.duty_calls import DutyCalls
from mustardwood.leadership.endpoint_order import EndpointOrder
from mustardwood.leadership.leadership import Leadership
from mustardwood.leadership.term import Term

__all__ = [
    "CallOutcome",
    "CallResult",
    "DutyCalls",
    "EndpointOrder",
    "Leadership",
    "Term",
]
