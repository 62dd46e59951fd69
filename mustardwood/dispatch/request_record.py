"""What the log and the metrics tell of a request."""

import datetime
import typing

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request

ANSWERED = "answered"
"""Outcome of a request whose caller got an endpoint's whole answer."""
CALLER_GONE = "caller gone"
"""Outcome of a request whose caller left before the end."""
COMPLETE = "complete"
"""End of an attempt that gave a whole answer."""
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""


class RequestRecord:
    """Collects the decisions about a request, and writes them at its end."""

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext) -> None:
        self._request = request
        self._context = context
        self._first_byte: datetime.timedelta | None = None
        self._last_piece: datetime.timedelta | None = None
        self._longest_pause = datetime.timedelta()
        self._attempts: list[dict[str, typing.Any]] = []

    def note_first_byte(self) -> None:
        """Notes that a part of an answer has come."""
        if self._first_byte is None:
            self._first_byte = self._context.clock.monotonic()

    def note_piece(self) -> None:
        """Notes that pieces of a stream were passed on."""
        now = self._context.clock.monotonic()
        if self._last_piece is not None:
            self._longest_pause = max(self._longest_pause,
                                      now - self._last_piece)
        self._last_piece = now

    def add_attempt(self, attempt: attempt_record.AttemptRecord,
                    end: str) -> None:
        """Adds an attempt that has ended."""
        kind = (COMPLETE if end == COMPLETE else
                "status" if attempt.status >= 400 else "broken")
        self._context.metrics.count_attempt(self._request.service, kind)
        now = self._context.clock.monotonic()
        self._attempts.append({
            "endpoint": attempt.endpoint,
            "cost": round(attempt.choice.cost, 3),
            "cached": attempt.choice.is_cached,
            "prefill_tokens": attempt.choice.load.prefill_tokens,
            "after_ms": _to_ms(attempt.sent_at - self._request.arrived_at),
            "for_ms": _to_ms(now - attempt.sent_at),
            "status": attempt.status,
            "end": end,
        })

    def finish(self, outcome: str, status: int) -> None:
        """Writes the line of the request, and counts it."""
        request = self._request
        took = self._context.clock.monotonic() - request.arrived_at
        first = (None if self._first_byte is None else self._first_byte -
                 request.arrived_at)
        self._context.metrics.count_request(request.tier,
                                            _classify(outcome, status),
                                            int(status), took, first)
        self._context.journal.write(
            "request",
            request_id=request.request_id,
            route=request.route,
            organisation=request.organisation,
            tier=request.tier,
            outcome=outcome,
            status=int(status),
            took_ms=_to_ms(took),
            first_byte_ms=None if first is None else _to_ms(first),
            longest_pause_ms=_to_ms(self._longest_pause),
            aims_ms=(_to_ms(request.first_byte_target),
                     _to_ms(request.inter_event_target)),
            prompt_tokens=request.prompt.input_tokens,
            attempts=self._attempts,
            **self._context.authorizer.describe())


def _classify(outcome: str, status: int) -> str:
    """Returns the kind of an outcome, for the metrics."""
    if outcome in (ANSWERED, CALLER_GONE):
        return outcome.replace(" ", "_")
    return "refused" if status in PROMISES else "failed"


def _to_ms(span: datetime.timedelta) -> int:
    return round(span / datetime.timedelta(milliseconds=1))
