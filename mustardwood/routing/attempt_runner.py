"""Execution of the attempts of one request."""

import datetime

from mustardwood import claims
from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import attempt_command
from mustardwood.routing import attempt_end
from mustardwood.routing import attempt_result
from mustardwood.routing import caller_request
from mustardwood.routing import commands
from mustardwood.routing import completion_buffer
from mustardwood.routing import request_kind
from mustardwood.routing import request_statistics
from mustardwood.routing import response_reader
from mustardwood.routing import routing_context

_MIN_FIRST_TOKEN_TIMEOUT = datetime.timedelta(seconds=30)
"""Minimum of the idle timeout before the first token."""

_FIRST_TOKEN_TIMEOUT_FACTOR = 4
"""Idle timeout before the first token, in first-token targets of the class."""

_Result = attempt_result.AttemptResult
_OUTCOMES = {
    _Result.WHOLE: messages.Outcome.WHOLE,
    _Result.NOT_STARTED: messages.Outcome.REFUSED,
    _Result.UNREACHABLE: messages.Outcome.UNREACHABLE,
    _Result.LOST: messages.Outcome.BROKEN,
    _Result.BROKEN: messages.Outcome.BROKEN,
    _Result.RESUME_REFUSED: messages.Outcome.REFUSED,
    _Result.SILENT: messages.Outcome.TIMED_OUT,
}
_NOT_RUN_RESULTS = (_Result.NOT_STARTED, _Result.UNREACHABLE)


class AttemptRunner:
    """Runs the attempts of a request, one at a time.

    Attributes:
        attempt: Running attempt; None between attempts.
        buffer: Buffer that collects the completion across attempts.
        may_have_run: Whether an ended attempt may have run on its endpoint.
        endpoint_name: Name of the endpoint of the last attempt; empty before
            the first attempt.
    """

    def __init__(self, request: caller_request.CallerRequest,
                 context: routing_context.RoutingContext,
                 statistics: request_statistics.RequestStatistics) -> None:
        self.attempt: attempt_module.Attempt | None = None
        self.buffer = completion_buffer.CompletionBuffer(
            request.request_id,
            is_chat=request.kind is request_kind.RequestKind.CHAT)
        self.may_have_run = False
        self.endpoint_name = ""
        self._request = request
        self._context = context
        self._statistics = statistics
        self._reader: response_reader.ResponseReader | None = None

    @property
    def reason(self) -> str:
        """Human-readable reason for the last result."""
        return "" if self._reader is None else self._reader.reason

    def matches_running_attempt(self, grant: messages.Grant,
                                granter_ip: str) -> bool:
        """Returns whether a grant is that of the running attempt."""
        attempt = self.attempt
        return (attempt is not None and attempt.number == grant.attempt and
                attempt.granter_ip == granter_ip and
                attempt.endpoint.name == grant.endpoint)

    def send(self, grant: messages.Grant, granter_ip: str,
             endpoint: configuration.Endpoint, now: datetime.timedelta) -> None:
        """Starts an attempt at an endpoint.

        Args:
            grant: The grant of the endpoint.
            granter_ip: IP address of the VM whose scheduler granted the
                endpoint; empty when the entry selected it itself.
            endpoint: The granted endpoint.
            now: Monotonic time.
        """
        suffix = f"{self._context.rng.getrandbits(32):08x}"
        attempt_id = f"{grant.request_id}.{grant.attempt}.{suffix}"
        attempt = attempt_module.Attempt(grant.attempt, attempt_id, grant.cell,
                                         granter_ip, endpoint, grant.priority,
                                         now)
        command = attempt_command.make_start_attempt(self._request, attempt,
                                                     self.buffer)
        self.attempt = attempt
        self.endpoint_name = endpoint.name
        target = self._request.request_class.first_token_target
        self._reader = response_reader.ResponseReader(
            attempt,
            self.buffer,
            expects_events=command.expects_events,
            first_token_timeout=max(_MIN_FIRST_TOKEN_TIMEOUT,
                                    target * _FIRST_TOKEN_TIMEOUT_FACTOR))
        self._context.attempts_by_endpoint[endpoint.name] += 1
        self._context.poison_detector.add_attempt(endpoint.name, attempt_id,
                                                  self._request.fingerprint)
        self._context.emit(command)

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Handles the status and headers of the endpoint's response."""
        assert self._reader is not None
        self._reader.handle_head(status, headers, now)

    def handle_events(
            self, parts: list[bytes],
            now: datetime.timedelta) -> attempt_result.AttemptResult | None:
        """Handles the data of engine events.

        Returns:
            The result if the attempt has ended, else None.
        """
        assert self._reader is not None and self.attempt is not None
        had_no_token = self.attempt.first_token_at is None
        result = self._reader.handle_events(parts, now)
        if had_no_token and self.attempt.first_token_at is not None:
            self._statistics.record_first_token(now)
            self._send_report(None)
        return result

    def take_outgoing_data(self) -> bytes:
        """Removes and returns the event data to send to the callers."""
        assert self._reader is not None
        outgoing = b"".join(self._reader.outgoing_events)
        self._reader.outgoing_events.clear()
        return outgoing

    def handle_body(
            self, data: bytes,
            now: datetime.timedelta) -> attempt_result.AttemptResult | None:
        """Handles a part of a body that is not an event stream.

        Returns:
            `BROKEN` when the body is too large, else None.
        """
        assert self._reader is not None
        return self._reader.handle_body(data, now)

    def handle_end(self,
                   end: attempt_end.AttemptEnd) -> attempt_result.AttemptResult:
        """Handles the end of the HTTP exchange; returns the result."""
        assert self._reader is not None
        return self._reader.handle_end(end)

    def is_timed_out(self, now: datetime.timedelta) -> bool:
        """Returns whether the running attempt has exceeded its idle timeout."""
        if self.attempt is None or self._reader is None:
            return False
        return self._reader.is_timed_out(now)

    def finish_attempt(self, result: attempt_result.AttemptResult,
                       now: datetime.timedelta) -> None:
        """Records the result of the running attempt and ends it."""
        assert self._reader is not None and self.attempt is not None
        if result is _Result.WHOLE:
            self._statistics.record_complete_response(self.attempt,
                                                      self.buffer.total_tokens,
                                                      now)
        if result is _Result.LOST:
            self._context.record_crash(self.attempt.endpoint.name, now)
        if result not in _NOT_RUN_RESULTS:
            self.may_have_run = True
        self._cancel_exchange()
        self._report_and_clear(_OUTCOMES[result])

    def make_stored_response(self) -> claims.StoredResponse:
        """Returns the complete response, after the result `WHOLE`.

        The cost grows with the number of events, so call it only where the
        response is needed as one object.
        """
        assert self._reader is not None
        return self._reader.make_stored_response()

    def cancel(self) -> None:
        """Cancels the running attempt, if there is one."""
        if self.attempt is None:
            return
        self.may_have_run = True
        self._cancel_exchange()
        self._report_and_clear(messages.Outcome.CANCELLED)

    def _cancel_exchange(self) -> None:
        assert self.attempt is not None
        self._context.emit(
            commands.CancelAttempt(self._request.request_id,
                                   self.attempt.number))

    def _report_and_clear(self, outcome: messages.Outcome) -> None:
        attempt = self.attempt
        assert attempt is not None
        self._send_report(outcome)
        name = attempt.endpoint.name
        self._context.poison_detector.remove_attempt(name, attempt.attempt_id)
        self._context.attempts_by_endpoint[name] -= 1
        if self._context.attempts_by_endpoint[name] <= 0:
            del self._context.attempts_by_endpoint[name]
        self.attempt = None

    def _send_report(self, outcome: messages.Outcome | None) -> None:
        attempt = self.attempt
        assert attempt is not None
        report = attempt.make_report(self._request, outcome)
        owner = self._context.directory.find_owner_ip(attempt.cell)
        for ip in sorted({attempt.granter_ip, owner} - {""}):
            self._context.send_scheduler(ip, report)
