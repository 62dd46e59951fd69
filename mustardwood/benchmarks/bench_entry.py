"""An entry of the fleet in virtual time."""

import collections.abc
import datetime
import random

from mustardwood import messages
from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import sequence as sequence_module
from mustardwood.benchmarks import world as world_module

HEARTBEAT_SECONDS = 1.0
"""Time between the heartbeats of an entry."""
_ATTEMPT_LIMIT = 4
_RETRY_SECONDS = 0.1

Send = collections.abc.Callable[[str, messages.Message], None]
"""Takes the sending VM and a message for the cell's owner."""


class OpenRequest:
    """A request that an entry holds.

    Attributes:
        request: The request.
        attempt: Number of the present attempt.
        endpoint: Endpoint of the present attempt; empty while it waits.
        sequence: The attempt in the engine.
        tokens: Tokens that the caller has.
        excluded: Endpoints that failed.
        is_over: Whether the final answer was given.
    """

    def __init__(self, request: bench_request.BenchRequest) -> None:
        self.request = request
        self.attempt = 1
        self.endpoint = ""
        self.sequence: sequence_module.Sequence | None = None
        self.tokens = 0
        self.sent_at = 0.0
        self.first_at: float | None = None
        self.excluded: tuple[str, ...] = ()
        self.is_over = False


class BenchEntry:
    """Asks the owner of the cell, runs what is granted, and reports."""

    def __init__(self, vm: str, cell: str, world: world_module.World,
                 send: Send) -> None:
        self._vm = vm
        self._cell = cell
        self._world = world
        self._send = send
        self._rng = random.Random(vm)
        self._open: dict[str, OpenRequest] = {}
        self._sequence = 0
        self._is_beating = False

    def arrive(self, request: bench_request.BenchRequest) -> None:
        """Takes a request."""
        self._world.recorder.note_arrival(request)
        one = OpenRequest(request)
        self._open[request.request_id] = one
        deadline = request.request_class.deadline_seconds
        self._world.timeline.call_later(deadline, lambda: self._expire(one))
        self._send(self._vm, self._make_ask(one))
        if not self._is_beating:
            self._is_beating = True
            self._world.timeline.call_later(
                HEARTBEAT_SECONDS * self._rng.random(), self.beat)

    def accept(self, message: messages.Message) -> None:
        """Takes a message of the owner."""
        if isinstance(message, messages.Grant):
            self._accept_grant(message)
        elif isinstance(message, messages.Refusal):
            self._accept_refusal(message)

    def beat(self) -> None:
        """Sends a heartbeat, and again while there is open work."""
        if not self._open:
            self._is_beating = False
            return
        self._world.timeline.call_later(HEARTBEAT_SECONDS, self.beat)
        self.announce()

    def announce(self) -> None:
        """Sends all open work to the owner."""
        self._sequence += 1
        waiting = [each for each in self._open.values() if not each.endpoint]
        running = [each for each in self._open.values() if each.endpoint]
        self._send(
            self._vm,
            messages.OpenWork(self._cell, self._sequence,
                              tuple(self._make_ask(each) for each in waiting),
                              tuple(map(_describe_running, running))))

    def _accept_grant(self, grant: messages.Grant) -> None:
        one = self._open.get(grant.request_id)
        if one is None or grant.attempt != one.attempt or one.endpoint:
            self._send(
                self._vm,
                messages.Withdrawal(grant.request_id, grant.attempt,
                                    self._cell))
            return
        one.endpoint = grant.endpoint
        one.sent_at = self._world.timeline.seconds
        one.first_at = None
        one.sequence = self._world.run_attempt(
            one.request, self._vm, grant.endpoint,
            f"{grant.request_id}/{grant.attempt}", grant.priority, one.tokens,
            lambda: self._take_first(one), lambda whole: self._end(one, whole))

    def _accept_refusal(self, refusal: messages.Refusal) -> None:
        one = self._open.get(refusal.request_id)
        if one is None or refusal.attempt != one.attempt or one.endpoint:
            return
        self._finish(one)
        self._world.recorder.note_refusal(one.request)

    def _take_first(self, one: OpenRequest) -> None:
        if one.is_over:
            return
        one.first_at = self._world.timeline.seconds
        self._world.recorder.note_first(one.request)
        self._send(self._vm, self._make_report(one, None))

    def _end(self, one: OpenRequest, whole: bool) -> None:
        if one.is_over:
            return
        assert one.sequence is not None
        if whole:
            self._send(self._vm, self._make_report(one, messages.Outcome.WHOLE))
            self._finish(one)
            self._world.recorder.note_whole(one.request)
            return
        reached = one.first_at is not None or one.sequence.tokens_done > 0
        outcome = (messages.Outcome.BROKEN
                   if reached else messages.Outcome.UNREACHABLE)
        self._send(self._vm, self._make_report(one, outcome))
        self._retry(one)

    def _retry(self, one: OpenRequest) -> None:
        assert one.sequence is not None
        one.tokens += one.sequence.tokens_done
        if one.attempt >= _ATTEMPT_LIMIT:
            self._finish(one)
            self._world.recorder.note_refusal(one.request)
            return
        one.excluded += (one.endpoint,)
        one.attempt += 1
        one.endpoint = ""
        one.sequence = None
        delay = _RETRY_SECONDS * (0.5 + self._rng.random())
        self._world.timeline.call_later(delay, lambda: self._ask_again(one))

    def _ask_again(self, one: OpenRequest) -> None:
        if not one.is_over and not one.endpoint:
            self._send(self._vm, self._make_ask(one))

    def _expire(self, one: OpenRequest) -> None:
        if one.is_over:
            return
        self._finish(one)
        self._world.recorder.note_refusal(one.request)
        if one.sequence is None:
            request_id = one.request.request_id
            self._send(self._vm,
                       messages.Withdrawal(request_id, one.attempt, self._cell))
        else:
            self._world.engines[one.endpoint].cancel(one.sequence)
            self._send(self._vm,
                       self._make_report(one, messages.Outcome.CANCELLED))

    def _finish(self, one: OpenRequest) -> None:
        one.is_over = True
        del self._open[one.request.request_id]

    def _make_ask(self, one: OpenRequest) -> messages.Ask:
        request = one.request
        waited = self._world.timeline.seconds - request.arrival
        remaining = request.request_class.deadline_seconds - waited
        return messages.Ask(request_id=request.request_id,
                            attempt=one.attempt,
                            cell=self._cell,
                            class_name=request.request_class.name,
                            organisation=request.organisation,
                            prompt_tokens=request.prompt_tokens,
                            max_tokens=request.max_tokens - one.tokens,
                            prefix=request.prefix,
                            waited=datetime.timedelta(seconds=waited),
                            remaining=datetime.timedelta(seconds=remaining),
                            excluded=one.excluded[-2:])

    def _make_report(
            self, one: OpenRequest,
            outcome: messages.Outcome | None) -> messages.AttemptReport:
        first = inter = None
        tokens = 0
        if one.first_at is not None:
            first = datetime.timedelta(seconds=one.first_at - one.sent_at)
        if outcome is messages.Outcome.WHOLE and one.first_at is not None:
            tokens = one.request.output_tokens - one.tokens
            elapsed = self._world.timeline.seconds - one.first_at
            if tokens > 1:
                inter = datetime.timedelta(seconds=elapsed / (tokens - 1))
        return messages.AttemptReport(one.request.request_id, one.attempt,
                                      self._cell, one.endpoint, outcome, first,
                                      inter, tokens)


def _describe_running(one: OpenRequest) -> messages.RunningAttempt:
    request = one.request
    started = 0 if one.first_at is None else 1
    return messages.RunningAttempt(request.request_id, one.attempt,
                                   one.endpoint, request.request_class.name,
                                   request.organisation, request.prompt_tokens,
                                   one.tokens + started)
