"""The sending of attempts and the reading of their answers."""

import datetime

from mustardwood import claims
from mustardwood import configuration
from mustardwood import messages
from mustardwood.routing import answer_text
from mustardwood.routing import attempt as attempt_module
from mustardwood.routing import attempt_end
from mustardwood.routing import attempt_reader
from mustardwood.routing import caller_request
from mustardwood.routing import commands
from mustardwood.routing import engine_call
from mustardwood.routing import request_kind
from mustardwood.routing import request_tally
from mustardwood.routing import routing_context
from mustardwood.routing import verdict as verdict_module

_FIRST_PART_TIMEOUT = datetime.timedelta(seconds=30)
"""Least silence before the first token after which an attempt is broken."""

_FIRST_PART_TARGETS = 4
"""The same silence, in targets of the class."""

_Verdict = verdict_module.Verdict
_OUTCOMES = {
    _Verdict.WHOLE: messages.Outcome.WHOLE,
    _Verdict.NOT_STARTED: messages.Outcome.REFUSED,
    _Verdict.UNREACHABLE: messages.Outcome.UNREACHABLE,
    _Verdict.LOST: messages.Outcome.BROKEN,
    _Verdict.BROKEN: messages.Outcome.BROKEN,
    _Verdict.RESUME_REFUSED: messages.Outcome.REFUSED,
    _Verdict.SILENT: messages.Outcome.TIMED_OUT,
}
_UNSENT = (_Verdict.NOT_STARTED, _Verdict.UNREACHABLE)


class AttemptRunner:
    """Runs the attempts of a request, one at a time.

    Attributes:
        attempt: Attempt under way; None between attempts.
        answer: Text of the answer across attempts.
        may_have_run: Whether an ended attempt may have run on its endpoint.
        endpoint: Name of the last endpoint; empty before the first.
    """

    def __init__(self, request: caller_request.CallerRequest,
                 context: routing_context.RoutingContext,
                 tally: request_tally.RequestTally) -> None:
        self.attempt: attempt_module.Attempt | None = None
        self.answer = answer_text.AnswerText(request.request_id,
                                             chat=request.kind
                                             is request_kind.RequestKind.CHAT)
        self.may_have_run = False
        self.endpoint = ""
        self._request = request
        self._context = context
        self._tally = tally
        self._reader: attempt_reader.AttemptReader | None = None

    @property
    def reason(self) -> str:
        """Why the last verdict was given."""
        return "" if self._reader is None else self._reader.reason

    def is_running(self, grant: messages.Grant, granter: str) -> bool:
        """Returns whether a grant is the one of the attempt under way."""
        attempt = self.attempt
        return (attempt is not None and attempt.number == grant.attempt and
                attempt.granter == granter and
                attempt.endpoint.name == grant.endpoint)

    def send(self, grant: messages.Grant, granter: str,
             endpoint: configuration.Endpoint, now: datetime.timedelta) -> None:
        """Sends the request to an endpoint."""
        suffix = f"{self._context.rng.getrandbits(32):08x}"
        attempt_id = f"{grant.request_id}.{grant.attempt}.{suffix}"
        attempt = attempt_module.Attempt(grant.attempt, attempt_id, grant.cell,
                                         granter, endpoint, grant.priority, now)
        call = engine_call.make_call(self._request, attempt, self.answer)
        self.attempt = attempt
        self.endpoint = endpoint.name
        target = self._request.request_class.first_token_target
        self._reader = attempt_reader.AttemptReader(
            attempt,
            self.answer,
            expects_events=call.expects_events,
            first_part_timeout=max(_FIRST_PART_TIMEOUT,
                                   target * _FIRST_PART_TARGETS))
        self._context.running[endpoint.name] += 1
        self._context.poison.add_attempt(endpoint.name, attempt_id,
                                         self._request.fingerprint)
        self._context.emit(call)

    def handle_head(self, status: int, headers: tuple[tuple[str, str], ...],
                    now: datetime.timedelta) -> None:
        """Takes the status and headers of the endpoint's answer."""
        assert self._reader is not None
        self._reader.handle_head(status, headers, now)

    def handle_events(self, parts: list[bytes],
                      now: datetime.timedelta) -> verdict_module.Verdict | None:
        """Takes the data of engine events."""
        assert self._reader is not None and self.attempt is not None
        unseen = self.attempt.first_token_at is None
        verdict = self._reader.handle_events(parts, now)
        if unseen and self.attempt.first_token_at is not None:
            self._tally.note_first_token(now)
            self._report(None)
        return verdict

    def take_passed(self) -> bytes:
        """Returns what is to be passed on, and forgets it."""
        assert self._reader is not None
        passed = b"".join(self._reader.passed)
        self._reader.passed.clear()
        return passed

    def handle_body(self, data: bytes,
                    now: datetime.timedelta) -> verdict_module.Verdict | None:
        """Takes a part of a body that is no stream of events."""
        assert self._reader is not None
        return self._reader.handle_body(data, now)

    def handle_end(self, end: attempt_end.AttemptEnd) -> verdict_module.Verdict:
        """Takes the end of the exchange with the endpoint."""
        assert self._reader is not None
        return self._reader.handle_end(end)

    def is_silent(self, now: datetime.timedelta) -> bool:
        """Returns whether the endpoint sent nothing for too long."""
        if self.attempt is None or self._reader is None:
            return False
        return self._reader.is_silent(now)

    def conclude(self, verdict: verdict_module.Verdict,
                 now: datetime.timedelta) -> None:
        """Ends the attempt."""
        assert self._reader is not None and self.attempt is not None
        if verdict is _Verdict.WHOLE:
            self._tally.note_whole(self.attempt, self.answer.total_tokens, now)
        if verdict is _Verdict.LOST:
            self._context.record_crash(self.attempt.endpoint.name, now)
        if verdict not in _UNSENT:
            self.may_have_run = True
        self._close()
        self._finish(_OUTCOMES[verdict])

    def make_whole(self) -> claims.StoredResponse:
        """Returns the whole answer, after the verdict `WHOLE`.

        It takes time for each event of the answer, so it is only called where
        somebody needs the answer as one object.
        """
        assert self._reader is not None
        return self._reader.make_stored()

    def cancel(self) -> None:
        """Closes the connection of the attempt under way, if there is one."""
        if self.attempt is None:
            return
        self.may_have_run = True
        self._close()
        self._finish(messages.Outcome.CANCELLED)

    def _close(self) -> None:
        assert self.attempt is not None
        self._context.emit(
            commands.CancelAttempt(self._request.request_id,
                                   self.attempt.number))

    def _finish(self, outcome: messages.Outcome) -> None:
        attempt = self.attempt
        assert attempt is not None
        self._report(outcome)
        name = attempt.endpoint.name
        self._context.poison.remove_attempt(name, attempt.attempt_id)
        self._context.running[name] -= 1
        if self._context.running[name] <= 0:
            del self._context.running[name]
        self.attempt = None

    def _report(self, outcome: messages.Outcome | None) -> None:
        attempt = self.attempt
        assert attempt is not None
        report = attempt.make_report(self._request, outcome)
        owner = self._context.directory.find_owner_ip(attempt.cell)
        for ip in sorted({attempt.granter, owner} - {""}):
            self._context.send_scheduler(ip, report)
