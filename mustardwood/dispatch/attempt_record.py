"""One attempt of a request, for decisions and logs."""

import datetime

from mustardwood.dispatch import endpoint_load
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement as placement_module


class AttemptRecord:
    """What is known of an attempt.

    Attributes:
        choice: Where it was sent and why.
        sent_at: Monotonic time of the send.
        load: The work that it counts for in the load table.
        status: Status of the answer; 0 before its head.
        headers: Headers of the answer.
        is_verified: Whether the answer is marked as the endpoint's own.
        was_not_run: Whether the endpoint states that it did not run it.
        is_doubted: Whether the endpoint has been silent for too long.
        body: Body of an answer that is not passed on as it comes.
        is_cut: Whether the rest of the body was dropped.
        handle: The connection's side of it.
    """

    def __init__(self, choice: placement_module.Choice,
                 sent_at: datetime.timedelta) -> None:
        self.choice = choice
        self.sent_at = sent_at
        self.load: endpoint_load.EndpointLoad = choice.load
        self.status = 0
        self.headers: forwarding_context.Headers = ()
        self.is_verified = False
        self.was_not_run = False
        self.is_doubted = False
        self.body = bytearray()
        self.is_cut = False
        self.handle: forwarding_context.Attempt | None = None

    @property
    def endpoint(self) -> str:
        """Name of the endpoint."""
        return self.choice.endpoint.name

    @property
    def is_success(self) -> bool:
        """Whether the head promises a usable answer."""
        return 200 <= self.status < 300 and self.is_verified
