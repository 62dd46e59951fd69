"""An order that the planner wants to be sent."""

import collections.abc
import dataclasses
import enum
import typing

from mustardwood.scaling import endpoint_group


class OrderReason(enum.Enum):
    """Why a number of endpoints is ordered."""

    DEMAND = "demand"
    """The present demand needs more endpoints."""
    RESERVE = "reserve"
    """Endpoints are missing that are kept for bursts and lost zones."""
    RECLAIMED = "reclaimed"
    """An availability zone has reclaimed its preemptible endpoints."""
    MINIMUM = "minimum"
    """The availability zone has fewer endpoints than the minimum."""
    SURPLUS = "surplus"
    """More endpoints are present than were wanted for some time."""
    PINNED = "pinned"
    """The operator has set the number of endpoints."""


@dataclasses.dataclass(frozen=True)
class PlannedOrder:
    """An order with its reason.

    Attributes:
        group: The endpoints that are ordered.
        count: Number of endpoints; absolute, not a difference.
        reason: Why they are ordered.
        inputs: What the decision was made from, for the log.
    """

    group: endpoint_group.EndpointGroup
    count: int
    reason: OrderReason
    inputs: collections.abc.Mapping[str, typing.Any] = dataclasses.field(
        default_factory=dict)
