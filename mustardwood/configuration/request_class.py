"""A class of requests with a service level."""

import datetime

import msgspec


class RequestClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Priority, targets and limits of one class of requests.

    Attributes:
        name: Unique name of the class.
        tier: Priority; 0 is the most urgent, 5 the least.
        first_token_seconds: Target time from arrival to the first token, or
            to the answer of a plain service.
        inter_token_seconds: Target mean time between tokens.
        objective: Share of requests that should meet their targets.
        floor: Share of a cell's grants kept for the class under overload.
        max_wait_seconds: Bound on the wait in a cell's queue while the cell
            has working endpoints.
        queue_limit: Largest number of the class's requests that wait in one
            cell.
        deadline_seconds: Time from arrival after which an unfinished request
            is given up.
        idempotent: Whether a request may be sent to endpoints more than once.
        expected_output_tokens: First estimate of an answer's length.
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
        """The target time to the first token."""
        return datetime.timedelta(seconds=self.first_token_seconds)

    @property
    def inter_token_target(self) -> datetime.timedelta:
        """The target mean time between tokens."""
        return datetime.timedelta(seconds=self.inter_token_seconds)

    @property
    def max_wait(self) -> datetime.timedelta:
        """The bound on the wait in a queue."""
        return datetime.timedelta(seconds=self.max_wait_seconds)

    @property
    def deadline(self) -> datetime.timedelta:
        """The time from arrival after which a request is given up."""
        return datetime.timedelta(seconds=self.deadline_seconds)
