"""An attempt to run a request on an endpoint."""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import caller_request


class Attempt:
    """State of an attempt that was sent to an endpoint.

    Attributes:
        number: Number of the attempt within its request, from 1.
        attempt_id: Id of the attempt, which is also sent to the endpoint.
        cell: Name of the cell that the endpoint belongs to.
        granter_ip: IP address of the VM whose scheduler granted the endpoint;
            empty when the entry selected the endpoint itself.
        endpoint: The endpoint that runs the attempt.
        priority: Priority from the grant.
        sent_at: Monotonic time at which the attempt was sent.
        first_token_at: Monotonic time of the first token; None before it.
        last_progress_at: Monotonic time of the last received part of the
            response; the time of sending before the first part.
        tokens: Number of tokens received.
        status: HTTP status of the response; 0 before the response.
        headers: Pairs of name and value of the response headers.
        body: Body received so far, if the response is not an event stream.
        done: Unused; always false.
        resumed: Unused; always false.
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
        """Adds received tokens; returns whether they are the first."""
        first = self.first_token_at is None
        if first:
            self.first_token_at = now
        self.tokens += tokens
        self.last_progress_at = now
        return first

    @property
    def mean_inter_token_time(self) -> datetime.timedelta | None:
        """The mean time between tokens; None for fewer than two tokens."""
        if self.first_token_at is None or self.tokens < 2:
            return None
        return (self.last_progress_at - self.first_token_at) / (self.tokens - 1)

    def make_report(self, request: caller_request.CallerRequest,
                    outcome: messages.Outcome | None) -> messages.AttemptReport:
        """Returns a report for the scheduler.

        Args:
            request: The request that the attempt belongs to.
            outcome: Outcome of the attempt; None while it runs.
        """
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
        """Returns the description of the running attempt for a heartbeat.

        Args:
            request: The request that the attempt belongs to.
            suspect: Whether the request was in flight at a recent crash.
        """
        return messages.RunningAttempt(request_id=request.request_id,
                                       attempt=self.number,
                                       endpoint=self.endpoint.name,
                                       class_name=request.request_class.name,
                                       organisation=request.organisation,
                                       prompt_tokens=request.prompt_tokens,
                                       output_tokens=self.tokens,
                                       fingerprint=request.fingerprint,
                                       suspect=suspect)
