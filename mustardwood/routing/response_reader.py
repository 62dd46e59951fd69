"""Reader for an endpoint's response to one attempt."""

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
"""Idle time after the first token after which an attempt has failed."""

MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Maximum size of a response that is not an event stream, in bytes."""

_NOT_STARTED_STATUSES = (http.HTTPStatus.TOO_MANY_REQUESTS,
                         http.HTTPStatus.SERVICE_UNAVAILABLE)
_STRIPPED_HEADERS = ("content-type", "content-length", "x-request-id",
                     "x-attempt-id")

_Result = attempt_result.AttemptResult


class ResponseReader:
    """Reads a response, and determines the result of its attempt.

    Args:
        attempt: The attempt; its state is updated.
        buffer: Buffer that collects the completion across attempts.
        expects_events: Whether a successful response is an event stream.
        first_token_timeout: Idle time before the first token after which the
            attempt has failed.

    Attributes:
        outgoing_events: Encoded server-sent events for the callers; the user of
            the reader removes them.
        reason: Human-readable reason for the result.
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
        """Whether the response is an event stream."""
        return (self._expects_events and
                self._attempt.status == http.HTTPStatus.OK)

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Handles the status and the headers of the response."""
        self._attempt.status = status
        self._attempt.headers = headers
        self._attempt.last_progress_at = now

    def handle_events(
            self, parts: list[bytes],
            now: datetime.timedelta) -> attempt_result.AttemptResult | None:
        """Handles the data of events.

        Returns:
            The result if the attempt has ended, else None.
        """
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
        """Handles a part of a body that is not an event stream.

        Returns:
            `BROKEN` when the body is too large, else None.
        """
        self._attempt.last_progress_at = now
        self._attempt.body += data
        if len(self._attempt.body) <= MAX_RESPONSE_BYTES:
            return None
        self.reason = f"the answer is over {MAX_RESPONSE_BYTES} bytes"
        return _Result.BROKEN

    def handle_end(self,
                   end: attempt_end.AttemptEnd) -> attempt_result.AttemptResult:
        """Handles the end of the HTTP exchange; returns the result."""
        self.reason = f"the exchange ended: {end}"
        if end is attempt_end.AttemptEnd.NOT_SENT:
            return _Result.UNREACHABLE
        if end is attempt_end.AttemptEnd.LOST:
            return _Result.LOST
        if end is attempt_end.AttemptEnd.MALFORMED or self.is_stream:
            return _Result.BROKEN
        return self._classify_status()

    def is_timed_out(self, now: datetime.timedelta) -> bool:
        """Returns whether the engine has been idle for longer than the timeout.

        A service call has no idle timeout; only its deadline bounds it.
        """
        if not self._expects_events:
            return False
        started = self._attempt.first_token_at is not None
        timeout = STREAM_IDLE_TIMEOUT if started else self._first_token_timeout
        return now - self._attempt.last_progress_at >= timeout

    def make_stored_response(self) -> claims.StoredResponse:
        """Returns the complete response."""
        attempt = self._attempt
        if self.is_stream:
            return claims.StoredResponse(status=http.HTTPStatus.OK,
                                         headers=(),
                                         content_type="application/json",
                                         body=self._buffer.encode_response())
        kept = tuple(each for each in attempt.headers
                     if each[0] not in _STRIPPED_HEADERS)
        content_type = dict(attempt.headers).get("content-type", "")
        return claims.StoredResponse(status=attempt.status,
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
        rewritten = self._buffer.add_event(event, data)
        if rewritten:
            self.outgoing_events.append(completion_buffer.encode_sse(rewritten))
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
