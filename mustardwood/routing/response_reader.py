"""The reading of an endpoint's answer to one attempt."""

import datetime
import http

from mustardwood import claims
from mustardwood import errors
from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import attempt_end
from mustardwood.routing import attempt_result
from mustardwood.routing import completion_buffer
from mustardwood.routing import engine_event
from mustardwood.routing import token_counter

STREAM_IDLE_TIMEOUT = datetime.timedelta(seconds=10)
"""Silence between events after which an attempt is broken."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Largest answer that is no stream of events, in bytes."""

_NOT_STARTED_STATUSES = (http.HTTPStatus.TOO_MANY_REQUESTS,
                         http.HTTPStatus.SERVICE_UNAVAILABLE)
_STRIPPED_HEADERS = ("content-type", "content-length", "x-request-id",
                     "x-attempt-id")

_Result = attempt_result.AttemptResult


class ResponseReader:
    """Decides what is outgoing_events on, and when an attempt has ended.

    Attributes:
        outgoing_events: Events to pass to the caller, encoded; emptied by the reader's
            user.
        reason: Why the result was given, for people.
    """

    def __init__(self, attempt: attempt_module.Attempt,
                 buffer: completion_buffer.CompletionBuffer, *,
                 expects_events: bool,
                 first_token_timeout: datetime.timedelta) -> None:
        self.outgoing_events: list[bytes] = []
        self.reason = ""
        self._attempt = attempt
        self._buffer = buffer
        self._expects_events = expects_events
        self._counter = token_counter.TokenCounter()
        self._first_token_timeout = first_token_timeout

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return (self._expects_events and
                self._attempt.status == http.HTTPStatus.OK)

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Takes the status and the headers."""
        self._attempt.status = status
        self._attempt.headers = headers
        self._attempt.last_progress_at = now

    def handle_events(
            self, parts: list[bytes],
            now: datetime.timedelta) -> attempt_result.AttemptResult | None:
        """Takes the data of events; returns the result when there is one."""
        for data in parts:
            if data == completion_buffer.END_MARKER:
                return self._handle_end_marker()
            self.reason = self._handle_event(data, now)
            if self.reason:
                return _Result.BROKEN
        return None

    def handle_body(
            self, data: bytes,
            now: datetime.timedelta) -> attempt_result.AttemptResult | None:
        """Takes a part of a body that is no stream of events."""
        self._attempt.last_progress_at = now
        self._attempt.body += data
        if len(self._attempt.body) <= MAX_RESPONSE_BYTES:
            return None
        self.reason = f"the answer is over {MAX_RESPONSE_BYTES} bytes"
        return _Result.BROKEN

    def handle_end(self,
                   end: attempt_end.AttemptEnd) -> attempt_result.AttemptResult:
        """Takes the end of the exchange."""
        self.reason = f"the exchange ended: {end}"
        if end is attempt_end.AttemptEnd.NOT_SENT:
            return _Result.UNREACHABLE
        if end is attempt_end.AttemptEnd.LOST:
            return _Result.LOST
        if end is attempt_end.AttemptEnd.MALFORMED or self.is_stream:
            return _Result.BROKEN
        return self._classify_status()

    def is_timed_out(self, now: datetime.timedelta) -> bool:
        """Returns whether the engine sent nothing for too long."""
        if not self._expects_events:
            return False
        started = self._attempt.first_token_at is not None
        timeout = STREAM_IDLE_TIMEOUT if started else self._first_token_timeout
        return now - self._attempt.last_progress_at >= timeout

    def make_stored_answer(self) -> claims.StoredAnswer:
        """Returns the whole answer."""
        attempt = self._attempt
        if self.is_stream:
            return claims.StoredAnswer(status=http.HTTPStatus.OK,
                                       headers=(),
                                       content_type="application/json",
                                       body=self._buffer.encode_response())
        kept = tuple(each for each in attempt.headers
                     if each[0] not in _STRIPPED_HEADERS)
        content_type = dict(attempt.headers).get("content-type", "")
        return claims.StoredAnswer(status=attempt.status,
                                   headers=kept,
                                   content_type=content_type,
                                   body=bytes(attempt.body))

    def _handle_end_marker(self) -> attempt_result.AttemptResult:
        if not self._buffer.finished:
            self.reason = "the end mark came without a finish reason"
            return _Result.BROKEN
        self.reason = self._counter.describe_mismatch()
        if self.reason:
            self._buffer.resumable = False
            return _Result.BROKEN
        return _Result.WHOLE

    def _handle_event(self, data: bytes, now: datetime.timedelta) -> str:
        try:
            event = engine_event.decode_event(data)
        except errors.LinkError as error:
            return error.message
        if event.id != self._attempt.attempt_id:
            return "an event of another attempt came"
        text = event.text
        if text and self._buffer.finished:
            return "text came after the finish reason"
        if event.token_count:
            self._attempt.add_tokens(event.token_count, now)
        self._attempt.last_progress_at = now
        self._counter.add_event(event)
        own = self._buffer.add_event(event, data)
        if own:
            self.outgoing_events.append(completion_buffer.encode_sse(own))
        return ""

    def _classify_status(self) -> attempt_result.AttemptResult:
        status = self._attempt.status
        marked = dict(self._attempt.headers).get("x-not-started") == "1"
        if marked and status in _NOT_STARTED_STATUSES:
            self.reason = f"refused before start with status {status}"
            return _Result.NOT_STARTED
        if not self._expects_events:
            return _Result.WHOLE
        if status == http.HTTPStatus.CONFLICT and self._buffer.text:
            self.reason = "the engine can't resume"
            return _Result.RESUME_REFUSED
        final = status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        if final and not self._buffer.text:
            return _Result.WHOLE
        self.reason = f"the engine answered status {status}"
        return _Result.BROKEN
