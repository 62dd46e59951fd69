"""An ask that waits in a cell's queue."""

import dataclasses
import datetime

from mustardwood import configuration
from mustardwood import messages

AttemptKey = tuple[str, int]
"""Request id and number of the attempt."""


@dataclasses.dataclass(frozen=True)
class WaitingRequest:
    """An ask with the times that its order follows from.

    Attributes:
        ask: The ask.
        sender: Entry that sent it.
        request_class: Its class.
        weight: Weight of its organisation.
        cost: Expected tokens, for the organisation's share.
        output_tokens: Expected length of the answer, in tokens.
        enqueued_at: When this cell first heard of it.
        arrived_at: When the request arrived at its entry.
        deadline_at: When the request is given up.
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
        """The attempt's key."""
        return self.ask.request_id, self.ask.attempt

    @property
    def tier(self) -> int:
        """The tier of its class."""
        return self.request_class.tier

    @property
    def first_token_due_at(self) -> datetime.timedelta:
        """When the first token is due by the class's target."""
        return self.arrived_at + self.request_class.first_token_target

    @property
    def sort_key(self) -> tuple[datetime.timedelta, AttemptKey]:
        """Sort key within an organisation: the oldest first."""
        return self.arrived_at, self.key
