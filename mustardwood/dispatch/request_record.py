"""Log line and metrics of a request."""

import datetime
import typing

from mustardwood.dispatch import attempt_record
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import service_request

ANSWERED = "answered"
"""Outcome of a request whose caller got a complete response of an endpoint."""
NO_ROOM = "no room"
"""Outcome of a request that was refused after a wait for an endpoint."""
NO_CAPACITY = "no capacity"
"""Outcome of a request that was refused since more urgent ones need engines."""
PROCESS_EXITS = "process exits"
"""Outcome of a request that can't end, or has not ended, before a stop."""
CALLER_GONE = "caller gone"
"""Outcome of a request whose caller disconnected before the end."""
COMPLETE = "complete"
"""End of an attempt that returned a complete response."""
_RUN_STATUSES = frozenset({500, 504})
"""HTTP statuses of failures that mean that a plain request began to run."""
CANCELLED = "other endpoint answered first"
"""End of one of two attempts of a hedged request, the other of which won."""
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses that guarantee that a request has not run."""
_MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line; most prompts have three.
"""
_MAX_LOGGED_KEY_LENGTH = 32
"""Length to which the key of a part is cut in a log line."""

_MAX_LOGGED_ENGINES = 4
"""Maximum number of engines whose load is in a log line."""


class RequestRecord:
    """Collects the decisions about a request and logs them at its end."""

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext,
                 fingerprint: str) -> None:
        self._request = request
        self._fingerprint = fingerprint
        self._context = context
        self._first_byte_at: datetime.timedelta | None = None
        self._last_events_at: datetime.timedelta | None = None
        self._longest_pause = datetime.timedelta()
        self._wait_started_at: datetime.timedelta | None = None
        self._waited = datetime.timedelta()
        self._limit: placement_limit.PlacementLimit | None = None
        self._attempts: list[dict[str, typing.Any]] = []
        self._numbers: dict[attempt_record.AttemptRecord, int] = {}
        # A resumption continues a request that was counted at its first event.
        self._is_counted = not request.organisation or request.is_resumption
        self._hedge: dict[str, typing.Any] = {}

    def record_first_byte(self) -> None:
        """Records the arrival of the first byte of a response."""
        if self._first_byte_at is None:
            self._first_byte_at = self._context.clock.monotonic()

    def record_events(self, attempt: attempt_record.AttemptRecord,
                      events: bytes) -> None:
        """Records that events of a stream were sent to the caller.

        Args:
            attempt: The attempt that brought them.
            events: The events.
        """
        attempt.timing.is_ignored |= attempt.is_stalled
        self._context.observer.record_events(self._request, attempt.choice,
                                             attempt.timing, events,
                                             self._is_whole)
        now = self._context.clock.monotonic()
        if self._last_events_at is not None:
            self._longest_pause = max(self._longest_pause,
                                      now - self._last_events_at)
        self._last_events_at = now
        self._count_begin(now)

    def record_hedge(self, **fields: typing.Any) -> None:
        """Records fields of a hedged request for the log."""
        self._hedge.update(fields)

    def record_wait(self, limit: placement_limit.PlacementLimit) -> None:
        """Records that no endpoint had room, and which limit was reached."""
        self._limit = limit
        if self._wait_started_at is None:
            self._wait_started_at = self._context.clock.monotonic()

    def end_wait(self) -> None:
        """Records that the request no longer waits for an endpoint."""
        if self._wait_started_at is not None:
            self._waited += (self._context.clock.monotonic() -
                             self._wait_started_at)
            self._wait_started_at = None

    def add_attempt(self, attempt: attempt_record.AttemptRecord,
                    end: str) -> None:
        """Adds an attempt that has ended.

        Args:
            attempt: The attempt.
            end: How it ended, for the log.
        """
        kind = (COMPLETE if end == COMPLETE else "cancelled" if end == CANCELLED
                else "status" if attempt.status >= 400 else "broken")
        self._context.metrics.count_attempt(self._request.service, kind)
        if end == COMPLETE and self._is_whole:
            self._context.observer.record_end(self._request, attempt.timing)
        now = self._context.clock.monotonic()
        if not self._request.is_stream and _began_to_run(attempt):
            self._count_begin(attempt.sent_at)
        endpoint = attempt.choice.endpoint
        rate_limit = self._context.rate_limits.find_limit(endpoint)
        self._attempts.append({
            "endpoint": endpoint.name,
            "software": endpoint.version,
            "sent_events": attempt.has_sent_events,
            "cost": round(attempt.choice.cost, 3),
            "cached": attempt.choice.is_cached,
            "prefill_tokens": attempt.choice.load.prefill_tokens,
            "engine_requests": attempt.choice.known_load.requests,
            "engine_prefill_tokens": attempt.choice.known_load.prefill_tokens,
            "engine_slots": endpoint.slots,
            "rate_limit": rate_limit,
            "expected_first_ms": _to_ms(attempt.choice.expected_first_token),
            "engine_slowdown": round(attempt.choice.slowdown, 2),
            "takes_long_prompts": attempt.choice.takes_long_prompts,
            "prefill_share": round(attempt.choice.prefill_share, 2),
            "events": attempt.event_count,
            "after_ms": _to_ms(attempt.sent_at - self._request.arrived_at),
            "for_ms": _to_ms(now - attempt.sent_at),
            "status": attempt.status,
            "run": attempt.run.value,
            "connection": attempt.connection_number,
            "discarded_responses": attempt.discarded_responses,
            "closed_after_ms": None,
            "close_delimited": attempt.is_close_delimited,
            "partial_event_bytes": attempt.partial_event_bytes,
            "counts_as_crash": attempt.counts_as_crash,
            "end": end,
        })
        self._numbers[attempt] = len(self._attempts) - 1

    def record_close(self, attempt: attempt_record.AttemptRecord) -> None:
        """Records that the endpoint has closed the connection of an attempt.

        Args:
            attempt: An attempt that has ended.
        """
        number = self._numbers.get(attempt)
        if number is not None and attempt.closed_after is not None:
            self._attempts[number]["closed_after_ms"] = _to_ms(
                attempt.closed_after)

    @property
    def _is_whole(self) -> bool:
        """Whether the open attempt brings the response from its beginning."""
        return not self._attempts and not self._request.is_resumption

    def finish(self, outcome: str, status: int) -> None:
        """Writes the log line of the request and counts it in the metrics.

        Args:
            outcome: How the request ended, for the log.
            status: HTTP status that the caller got; 0 if the response was
                aborted.
        """
        request = self._request
        took = self._context.clock.monotonic() - request.arrived_at
        first = (None if self._first_byte_at is None else self._first_byte_at -
                 request.arrived_at)
        self._context.metrics.count_request(request.tier,
                                            _classify(outcome, status),
                                            int(status), took, first)
        self._context.journal.write(
            "request",
            request_id=request.request_id,
            fingerprint=self._fingerprint,
            route=request.route,
            organisation=request.organisation,
            resumes=request.resumed_request_id,
            last_event_id=request.last_event_id,
            tier=request.tier,
            tier_count=request.tier_count,
            route_tier=request.route_tier,
            organisation_tier=request.organisation_tier,
            outcome=outcome,
            status=int(status),
            took_ms=_to_ms(took),
            first_byte_ms=None if first is None else _to_ms(first),
            longest_pause_ms=_to_ms(self._longest_pause),
            aims_ms=(_to_ms(request.first_byte_target),
                     _to_ms(request.inter_event_target)),
            prompt_tokens=request.prompt.input_tokens,
            shared_parts=[
                each[:_MAX_LOGGED_KEY_LENGTH]
                for each in request.prompt.list_shared_keys(_MAX_LOGGED_PARTS)
            ],
            queued_ms=_to_ms(self._waited),
            waited_for=self._limit,
            attempts=self._attempts,
            engines=(self._list_engines() if outcome in (NO_ROOM,
                                                         NO_CAPACITY) else []),
            **(self._context.admission.describe(request)
               if outcome == NO_CAPACITY else {}),
            **({
                "hedge": self._hedge
            } if self._hedge else {}),
            **self._context.authorizer.describe())

    def _count_begin(self, began_at: datetime.timedelta) -> None:
        """Counts the request in the usage unless it was counted before."""
        if not self._is_counted:
            self._is_counted = True
            self._context.usage.record_begin(self._request.organisation,
                                             began_at)

    def _list_engines(self) -> list[dict[str, typing.Any]]:
        """Returns the known load of some of the engines, for the log."""
        context = self._context
        service = self._request.service
        usable = context.directory.list_usable(service)
        long_prompt_engines = context.placement.find_long_prompt_engines(
            service, usable)
        engines = []
        for each in usable[:_MAX_LOGGED_ENGINES]:
            load = context.loads.find_load(each.name)
            duration = context.loads.find_prefill_duration(each.name)
            engines.append({
                "endpoint":
                    each.name,
                "requests":
                    load.requests,
                "prefill_tokens":
                    load.prefill_tokens,
                "prefill_ms":
                    _to_ms(duration),
                "prefill_share":
                    round(
                        context.loads.measure_use(each.name).prefill_share, 2),
                "takes_long_prompts":
                    each.name in long_prompt_engines,
            })
        return engines


def _began_to_run(attempt: attempt_record.AttemptRecord) -> bool:
    """Returns whether an endpoint probably began to run a plain request.

    It did if it answered, or if its connection broke after the request was
    sent. A plain request runs for milliseconds, so it began when it was sent.
    """
    if attempt.was_not_run:
        return False
    if attempt.status:
        return attempt.is_success or attempt.status in _RUN_STATUSES
    return attempt.run is attempt_record.RunState.WRITTEN


def _classify(outcome: str, status: int) -> str:
    """Returns the value of an outcome in the metrics."""
    if outcome in (ANSWERED, CALLER_GONE):
        return outcome.replace(" ", "_")
    return "refused" if status in NOT_RUN_STATUSES else "failed"


def _to_ms(span: datetime.timedelta) -> int:
    return round(span / datetime.timedelta(milliseconds=1))
