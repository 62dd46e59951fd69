"""One attempt of a request at an endpoint."""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import caller_request


class Attempt:
    """What is known of an attempt that was sent.

    Attributes:
        number: Number of the attempt, from 1.
        attempt_id: Id sent to the endpoint.
        cell: Name of the cell.
        granter_ip: IP address of the scheduler's VM; empty for a local grant.
        endpoint: The endpoint.
        priority: Priority from the grant.
        sent_at: Monotonic time of the send.
        first_token_at: Monotonic time of the first token.
        last_progress_at: Monotonic time of the last part of the answer.
        tokens: Tokens received.
        status: HTTP status of the answer; 0 before it.
        headers: HTTP headers of the answer.
        body: Body of an answer that is no stream of events.
        done: Whether the end mark came.
        resumed: Whether the attempt goes on with an earlier one's text.
    """

    def __init__(self, number: int, attempt_id: str, cell: str, granter_ip: str,
                 endpoint: configuration.Endpoint, priority: int,
                 sent_at: datetime.timedelta) -> None:
        self.number = number
        self.attempt_id = attempt_id
        self.cell = cell
        self.granter_ip = granter_ip
        self.endpoint = endpoint
        self.priority = priority
        self.sent_at = sent_at
        self.first_token_at: datetime.timedelta | None = None
        self.last_progress_at = sent_at
        self.tokens = 0
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.body = bytearray()
        self.done = False
        self.resumed = False

    def add_tokens(self, tokens: int, now: datetime.timedelta) -> bool:
        """Counts tokens; returns whether they are the first."""
        first = self.first_token_at is None
        if first:
            self.first_token_at = now
        self.tokens += tokens
        self.last_progress_at = now
        return first

    @property
    def mean_inter_token_time(self) -> datetime.timedelta | None:
        """The mean time between tokens; None for fewer than two."""
        if self.first_token_at is None or self.tokens < 2:
            return None
        return (self.last_progress_at - self.first_token_at) / (self.tokens - 1)

    def make_report(self, request: caller_request.CallerRequest,
                    outcome: messages.Outcome | None) -> messages.AttemptReport:
        """Returns the report for the scheduler."""
        first = self.first_token_at
        return messages.AttemptReport(
            request_id=request.request_id,
            attempt=self.number,
            cell=self.cell,
            endpoint=self.endpoint.name,
            outcome=outcome,
            first_token=None if first is None else first - self.sent_at,
            inter_token=self.mean_inter_token_time,
            output_tokens=self.tokens,
            fingerprint=request.fingerprint)

    def make_running_attempt(self, request: caller_request.CallerRequest, *,
                             suspect: bool) -> messages.RunningAttempt:
        """Returns the entry of a heartbeat."""
        return messages.RunningAttempt(request_id=request.request_id,
                                       attempt=self.number,
                                       endpoint=self.endpoint.name,
                                       class_name=request.request_class.name,
                                       organisation=request.organisation,
                                       prompt_tokens=request.prompt_tokens,
                                       output_tokens=self.tokens,
                                       fingerprint=request.fingerprint,
                                       suspect=suspect)
