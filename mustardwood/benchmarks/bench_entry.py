"""Model of an entry process in simulated time."""

import collections.abc
import datetime
import random

from mustardwood import messages
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import sequence as sequence_module
from mustardwood.benchmarks import environment as environment_module

HEARTBEAT_INTERVAL_SECONDS = 1.0
"""Time between two heartbeats of an entry."""
_MAX_ATTEMPTS = 4
_RETRY_DELAY_SECONDS = 0.1

Send = collections.abc.Callable[[str, messages.Message], None]
"""Sends a message from the given VM to the owner of the cell."""


class OpenRequest:
    """State of a request that an entry has not finished.

    Attributes:
        request: The request.
        attempt: Number of the current attempt, starting at 1.
        endpoint: Endpoint of the current attempt; empty while the request
            waits for a grant.
        sequence: The current attempt inside the modelled engine.
        tokens: Output tokens that the caller received from earlier attempts.
        sent_at: Time at which the current attempt was sent, in seconds.
        first_token_at: Time of the current attempt's first token, in seconds;
            None before it.
        excluded: Endpoints whose attempts failed.
        is_over: Whether the caller received the final response.
    """

    def __init__(self, request: bench_request.BenchRequest) -> None:
        self.request = request
        self.attempt = 1
        self.endpoint = ""
        self.sequence: sequence_module.Sequence | None = None
        self.tokens = 0
        self.sent_at = 0.0
        self.first_token_at: float | None = None
        self.excluded: tuple[str, ...] = ()
        self.is_over = False


class BenchEntry:
    """Asks the cell's owner for endpoints, sends attempts and reports them.

    A request whose attempt fails is retried and continues after the tokens
    that the caller already received.
    """

    def __init__(self, vm: str, cell: str,
                 environment: environment_module.Environment,
                 send: Send) -> None:
        self._vm = vm
        self._cell = cell
        self._environment = environment
        self._send = send
        self._rng = random.Random(vm)
        self._open: dict[str, OpenRequest] = {}
        self._sequence = 0
        self._is_heartbeat_scheduled = False

    def handle_request(self, request: bench_request.BenchRequest) -> None:
        """Asks the owner to schedule a request of a caller."""
        self._environment.recorder.record_arrival(request)
        pending = OpenRequest(request)
        self._open[request.request_id] = pending
        deadline = request.request_class.deadline_seconds
        self._environment.timeline.call_later(deadline,
                                              lambda: self._expire(pending))
        self._send(self._vm, self._make_ask(pending))
        if not self._is_heartbeat_scheduled:
            self._is_heartbeat_scheduled = True
            self._environment.timeline.call_later(
                HEARTBEAT_INTERVAL_SECONDS * self._rng.random(),
                self.send_heartbeat)

    def handle_message(self, message: messages.Message) -> None:
        """Handles a grant or refusal from the owner."""
        if isinstance(message, messages.Grant):
            self._handle_grant(message)
        elif isinstance(message, messages.Refusal):
            self._handle_refusal(message)

    def send_heartbeat(self) -> None:
        """Sends a heartbeat, and schedules the next while requests are open."""
        if not self._open:
            self._is_heartbeat_scheduled = False
            return
        self._environment.timeline.call_later(HEARTBEAT_INTERVAL_SECONDS,
                                              self.send_heartbeat)
        self.send_open_work()

    def send_open_work(self) -> None:
        """Sends the waiting and running requests to the owner."""
        self._sequence += 1
        waiting = [each for each in self._open.values() if not each.endpoint]
        running = [each for each in self._open.values() if each.endpoint]
        self._send(
            self._vm,
            messages.OpenWork(self._cell, self._sequence,
                              tuple(self._make_ask(each) for each in waiting),
                              tuple(map(_describe_running, running))))

    def _handle_grant(self, grant: messages.Grant) -> None:
        pending = self._open.get(grant.request_id)
        if (pending is None or grant.attempt != pending.attempt or
                pending.endpoint):
            self._send(
                self._vm,
                messages.Withdrawal(grant.request_id, grant.attempt,
                                    self._cell))
            return
        pending.endpoint = grant.endpoint
        pending.sent_at = self._environment.timeline.seconds
        pending.first_token_at = None
        pending.sequence = self._environment.send_attempt(
            pending.request, self._vm, grant.endpoint,
            f"{grant.request_id}/{grant.attempt}", grant.priority,
            pending.tokens, lambda: self._handle_first_token(pending),
            lambda is_complete: self._handle_end(pending, is_complete))

    def _handle_refusal(self, refusal: messages.Refusal) -> None:
        pending = self._open.get(refusal.request_id)
        if (pending is None or refusal.attempt != pending.attempt or
                pending.endpoint):
            return
        self._finish(pending)
        self._environment.recorder.record_refusal(pending.request)

    def _handle_first_token(self, pending: OpenRequest) -> None:
        if pending.is_over:
            return
        pending.first_token_at = self._environment.timeline.seconds
        self._environment.recorder.record_first_token(pending.request)
        self._send(self._vm, self._make_report(pending, None))

    def _handle_end(self, pending: OpenRequest, is_complete: bool) -> None:
        if pending.is_over:
            return
        assert pending.sequence is not None
        if is_complete:
            self._send(self._vm,
                       self._make_report(pending, messages.Outcome.WHOLE))
            self._finish(pending)
            self._environment.recorder.record_completion(pending.request)
            return
        was_started = (pending.first_token_at is not None or
                       pending.sequence.tokens_done > 0)
        outcome = (messages.Outcome.BROKEN
                   if was_started else messages.Outcome.UNREACHABLE)
        self._send(self._vm, self._make_report(pending, outcome))
        self._retry(pending)

    def _retry(self, pending: OpenRequest) -> None:
        assert pending.sequence is not None
        pending.tokens += pending.sequence.tokens_done
        if pending.attempt >= _MAX_ATTEMPTS:
            self._finish(pending)
            self._environment.recorder.record_refusal(pending.request)
            return
        pending.excluded += (pending.endpoint,)
        pending.attempt += 1
        pending.endpoint = ""
        pending.sequence = None
        delay = _RETRY_DELAY_SECONDS * (0.5 + self._rng.random())
        self._environment.timeline.call_later(delay,
                                              lambda: self._ask_again(pending))

    def _ask_again(self, pending: OpenRequest) -> None:
        if not pending.is_over and not pending.endpoint:
            self._send(self._vm, self._make_ask(pending))

    def _expire(self, pending: OpenRequest) -> None:
        if pending.is_over:
            return
        self._finish(pending)
        self._environment.recorder.record_refusal(pending.request)
        if pending.sequence is None:
            request_id = pending.request.request_id
            self._send(
                self._vm,
                messages.Withdrawal(request_id, pending.attempt, self._cell))
        else:
            self._environment.engines[pending.endpoint].cancel(pending.sequence)
            self._send(self._vm,
                       self._make_report(pending, messages.Outcome.CANCELLED))

    def _finish(self, pending: OpenRequest) -> None:
        pending.is_over = True
        del self._open[pending.request.request_id]

    def _make_ask(self, pending: OpenRequest) -> messages.Ask:
        request = pending.request
        waited = self._environment.timeline.seconds - request.arrival
        remaining = request.request_class.deadline_seconds - waited
        return messages.Ask(request_id=request.request_id,
                            attempt=pending.attempt,
                            cell=self._cell,
                            class_name=request.request_class.name,
                            organisation=request.organisation,
                            prompt_tokens=request.prompt_tokens,
                            max_tokens=request.max_tokens - pending.tokens,
                            prefix=request.prefix,
                            waited=datetime.timedelta(seconds=waited),
                            remaining=datetime.timedelta(seconds=remaining),
                            excluded=pending.excluded[-2:])

    def _make_report(
            self, pending: OpenRequest,
            outcome: messages.Outcome | None) -> messages.AttemptReport:
        first = inter = None
        tokens = 0
        if pending.first_token_at is not None:
            first = datetime.timedelta(seconds=pending.first_token_at -
                                       pending.sent_at)
        if (outcome is messages.Outcome.WHOLE and
                pending.first_token_at is not None):
            tokens = pending.request.output_tokens - pending.tokens
            elapsed = (self._environment.timeline.seconds -
                       pending.first_token_at)
            if tokens > 1:
                inter = datetime.timedelta(seconds=elapsed / (tokens - 1))
        return messages.AttemptReport(pending.request.request_id,
                                      pending.attempt, self._cell,
                                      pending.endpoint, outcome, first, inter,
                                      tokens)


def _describe_running(pending: OpenRequest) -> messages.RunningAttempt:
    request = pending.request
    started = 0 if pending.first_token_at is None else 1
    return messages.RunningAttempt(request.request_id, pending.attempt,
                                   pending.endpoint, request.request_class.name,
                                   request.organisation, request.prompt_tokens,
                                   pending.tokens + started)
