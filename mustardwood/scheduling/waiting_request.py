"""A request that waits in the queue of a cell."""

import dataclasses
import datetime

from mustardwood import configuration
from mustardwood import messages

AttemptKey = tuple[str, int]
"""Identifies an attempt: request id and number of the attempt."""


@dataclasses.dataclass(frozen=True)
class WaitingRequest:
    """A waiting request with the times and costs that determine its order.

    Attributes:
        ask: The entry's message that asks for an endpoint.
        sender: The entry that sent it.
        request_class: Class of the request.
        weight: Weight of the caller's organisation.
        cost: Expected cost in tokens, charged to the organisation's share.
        output_tokens: Expected length of the answer, in tokens.
        enqueued_at: When the ask arrived at this scheduler.
        arrived_at: When the request arrived at its entry.
        deadline_at: When the request's deadline passes.
    """

    ask: messages.Ask
    sender: messages.Peer
    request_class: configuration.RequestClass
    weight: float
    cost: float
    output_tokens: float
    enqueued_at: datetime.timedelta
    arrived_at: datetime.timedelta
    deadline_at: datetime.timedelta

    @property
    def key(self) -> AttemptKey:
        """Key of the attempt."""
        return self.ask.request_id, self.ask.attempt

    @property
    def tier(self) -> int:
        """Tier of the request's class."""
        return self.request_class.tier

    @property
    def first_token_due_at(self) -> datetime.timedelta:
        """Time by which the class's target requires the first token."""
        return self.arrived_at + self.request_class.first_token_target

    @property
    def sort_key(self) -> tuple[datetime.timedelta, AttemptKey]:
        """Sort key: the request that arrived first comes first."""
        return self.arrived_at, self.key
