"""The reading of an endpoint's answer to one attempt."""

import datetime
import http

from mustardwood import claims
from mustardwood import errors
from mustardwood.routing import answer_text
from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import attempt_end
from mustardwood.routing import engine_event
from mustardwood.routing import token_counter
from mustardwood.routing import verdict as verdict_module

STREAM_TIMEOUT = datetime.timedelta(seconds=10)
"""Silence between events after which an attempt is broken."""

ANSWER_LIMIT = 8 * 1024 * 1024
"""Largest answer that is no stream of events, in bytes."""

_NOT_STARTED_STATUSES = (http.HTTPStatus.TOO_MANY_REQUESTS,
                         http.HTTPStatus.SERVICE_UNAVAILABLE)
_UNPASSED_HEADERS = ("content-type", "content-length", "x-request-id",
                     "x-attempt-id")

_Verdict = verdict_module.Verdict


class AttemptReader:
    """Decides what is passed on, and when an attempt has ended.

    Attributes:
        passed: Events to pass to the caller, encoded; emptied by the reader's
            user.
        reason: Why the verdict was given, for people.
    """

    def __init__(self, attempt: attempt_module.Attempt,
                 answer: answer_text.AnswerText, *, expects_events: bool,
                 first_part_timeout: datetime.timedelta) -> None:
        self.passed: list[bytes] = []
        self.reason = ""
        self._attempt = attempt
        self._answer = answer
        self._expects_events = expects_events
        self._counter = token_counter.TokenCounter()
        self._first_part_timeout = first_part_timeout

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
        self._attempt.progress_at = now

    def handle_events(self, parts: list[bytes],
                      now: datetime.timedelta) -> verdict_module.Verdict | None:
        """Takes the data of events; returns the verdict when there is one."""
        for data in parts:
            if data == answer_text.DONE:
                return self._take_mark()
            self.reason = self._take_event(data, now)
            if self.reason:
                return _Verdict.BROKEN
        return None

    def handle_body(self, data: bytes,
                    now: datetime.timedelta) -> verdict_module.Verdict | None:
        """Takes a part of a body that is no stream of events."""
        self._attempt.progress_at = now
        self._attempt.body += data
        if len(self._attempt.body) <= ANSWER_LIMIT:
            return None
        self.reason = f"the answer is over {ANSWER_LIMIT} bytes"
        return _Verdict.BROKEN

    def handle_end(self, end: attempt_end.AttemptEnd) -> verdict_module.Verdict:
        """Takes the end of the exchange."""
        self.reason = f"the exchange ended: {end}"
        if end is attempt_end.AttemptEnd.NOT_SENT:
            return _Verdict.UNREACHABLE
        if end is attempt_end.AttemptEnd.LOST:
            return _Verdict.LOST
        if end is attempt_end.AttemptEnd.MALFORMED or self.is_stream:
            return _Verdict.BROKEN
        return self._judge_status()

    def is_silent(self, now: datetime.timedelta) -> bool:
        """Returns whether the engine sent nothing for too long."""
        if not self._expects_events:
            return False
        started = self._attempt.first_token_at is not None
        bound = STREAM_TIMEOUT if started else self._first_part_timeout
        return now - self._attempt.progress_at >= bound

    def make_stored(self) -> claims.StoredResponse:
        """Returns the whole answer."""
        attempt = self._attempt
        if self.is_stream:
            return claims.StoredResponse(status=http.HTTPStatus.OK,
                                         headers=(),
                                         content_type="application/json",
                                         body=self._answer.encode_whole())
        kept = tuple(each for each in attempt.headers
                     if each[0] not in _UNPASSED_HEADERS)
        content_type = dict(attempt.headers).get("content-type", "")
        return claims.StoredResponse(status=attempt.status,
                                     headers=kept,
                                     content_type=content_type,
                                     body=bytes(attempt.body))

    def _take_mark(self) -> verdict_module.Verdict:
        if not self._answer.finished:
            self.reason = "the end mark came without a finish reason"
            return _Verdict.BROKEN
        self.reason = self._counter.find_mismatch()
        if self.reason:
            self._answer.resumable = False
            return _Verdict.BROKEN
        return _Verdict.WHOLE

    def _take_event(self, data: bytes, now: datetime.timedelta) -> str:
        try:
            event = engine_event.decode_event(data)
        except errors.LinkError as error:
            return error.message
        if event.id != self._attempt.attempt_id:
            return "an event of another attempt came"
        text = event.text
        if text and self._answer.finished:
            return "text came after the finish reason"
        if event.token_count:
            self._attempt.count_tokens(event.token_count, now)
        self._attempt.progress_at = now
        self._counter.add_event(event)
        own = self._answer.add_event(event, data)
        if own:
            self.passed.append(answer_text.encode_sse(own))
        return ""

    def _judge_status(self) -> verdict_module.Verdict:
        status = self._attempt.status
        marked = dict(self._attempt.headers).get("x-not-started") == "1"
        if marked and status in _NOT_STARTED_STATUSES:
            self.reason = f"refused before start with status {status}"
            return _Verdict.NOT_STARTED
        if not self._expects_events:
            return _Verdict.WHOLE
        if status == http.HTTPStatus.CONFLICT and self._answer.text:
            self.reason = "the engine can't resume"
            return _Verdict.RESUME_REFUSED
        final = status < http.HTTPStatus.INTERNAL_SERVER_ERROR
        if final and not self._answer.text:
            return _Verdict.WHOLE
        self.reason = f"the engine answered status {status}"
        return _Verdict.BROKEN
