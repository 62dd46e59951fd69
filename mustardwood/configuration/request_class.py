"""A class of requests with a service level."""

import datetime

import msgspec


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Priority, targets and limits of one class of requests.

    Attributes:
        name: Unique name of the class.
        tier: Priority; 0 is the most urgent, 5 the least.
        first_token_seconds: Target time from arrival to the first token, or
            to the response of a service, in seconds.
        inter_token_seconds: Target mean time between tokens, in seconds.
        objective: Share of requests that should meet their latency targets.
        floor: Guaranteed share of a cell's grants under overload.
        max_wait_seconds: Maximum wait in the queue of a cell that has working
            endpoints, in seconds.
        queue_limit: Maximum number of requests of the class in the queue of one
            cell.
        deadline_seconds: Time from arrival after which an unfinished request
            is abandoned, in seconds.
        idempotent: Whether a request may be sent to endpoints more than once.
        expected_output_tokens: Initial estimate of the length of a response,
            in tokens.
    """

    name: str
    tier: int
    first_token_seconds: float
    inter_token_seconds: float = 0.058
    objective: float = 0.95
    floor: float = 0.02
    max_wait_seconds: float = 120.0
    queue_limit: int = 256
    deadline_seconds: float = 300.0
    idempotent: bool = True
    expected_output_tokens: int = 256

    @property
    def first_token_target(self) -> datetime.timedelta:
        """Target time from arrival to the first token."""
        return datetime.timedelta(seconds=self.first_token_seconds)

    @property
    def inter_token_target(self) -> datetime.timedelta:
        """Target mean time between tokens."""
        return datetime.timedelta(seconds=self.inter_token_seconds)

    @property
    def max_wait(self) -> datetime.timedelta:
        """Maximum wait in the queue of a cell."""
        return datetime.timedelta(seconds=self.max_wait_seconds)

    @property
    def deadline(self) -> datetime.timedelta:
        """Time from arrival after which a request is abandoned."""
        return datetime.timedelta(seconds=self.deadline_seconds)
