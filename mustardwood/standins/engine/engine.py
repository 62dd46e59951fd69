"""The batch of a stand-in engine."""

import collections
import collections.abc
import itertools
import typing

import sortedcontainers

from mustardwood.standins import fault_injector
from mustardwood.standins.engine import attempt as attempt_module
from mustardwood.standins.engine import engine_options
from mustardwood.standins.engine import event_faults
from mustardwood.standins.engine import faults as faults_module
from mustardwood.standins.engine import prefix_cache

_LOG_LENGTH = 100_000
"""Attempts that the log keeps."""


class Engine:
    """Batches continuously: one token for each stream and step.

    One timer serves the whole batch. A request that waits enters the batch
    between two steps, the most urgent first; the step after that takes the
    time of its prefill too.

    Args:
        reactor: The timer.
        options: Size and speed.
        switch: The faults.
        crash: Ends the process or drops its connections.

    Attributes:
        log: Attempts that ran, in order of start.
    """

    def __init__(self, reactor: typing.Any,
                 options: engine_options.EngineOptions,
                 injector: fault_injector.FaultInjector[faults_module.Faults],
                 crash: collections.abc.Callable[[], None]) -> None:
        self.log: collections.deque[attempt_module.Attempt] = (
            collections.deque(maxlen=_LOG_LENGTH))
        self._reactor = reactor
        self._options = options
        self._injector = injector
        self._crash = crash
        self._cache = prefix_cache.PrefixCache(options.cache_tokens)
        self._running: list[attempt_module.Attempt] = []
        self._queue: typing.Any = sortedcontainers.SortedDict()
        self._sequence = itertools.count()
        self._prefill_seconds = 0.0
        self._timer: typing.Any = None
        self._ended: attempt_module.Attempt | None = None

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of requests that wait."""
        return len(self._queue)

    @property
    def cached_tokens(self) -> int:
        """Tokens in the prefix cache."""
        return self._cache.size

    @property
    def is_full(self) -> bool:
        """Whether the next request has to be refused."""
        return (self.running >= self._options.batch_limit and
                self.queued >= self._options.queue_limit)

    def submit(self, attempt: attempt_module.Attempt) -> None:
        """Takes a request in; call only when not `is_full`."""
        self._queue[attempt.priority, next(self._sequence)] = attempt
        if self._timer is None:
            self._start_step()

    def cancel(self, attempt_id: str) -> attempt_module.Attempt | None:
        """Cancels an attempt and returns it; None when it is not there."""
        attempt = self._remove(attempt_id)
        if attempt is not None:
            self._end(attempt, attempt_module.AttemptState.CANCELLED)
        return attempt

    def _remove(self, attempt_id: str) -> attempt_module.Attempt | None:
        for key, attempt in self._queue.items():
            if attempt.attempt_id == attempt_id:
                del self._queue[key]
                return attempt
        for attempt in self._running:
            if attempt.attempt_id == attempt_id:
                self._running.remove(attempt)
                return attempt
        return None

    def fail_all(self) -> None:
        """Loses all requests, the queue and the cache, as a crash does."""
        lost = [*self._running, *self._queue.values()]
        self._running.clear()
        self._queue.clear()
        self._cache = prefix_cache.PrefixCache(self._options.cache_tokens)
        for attempt in lost:
            self._end(attempt, attempt_module.AttemptState.CRASHED)
            attempt.sink.reset()

    def _start_step(self) -> None:
        self._timer = None
        while self._queue and self.running < self._options.batch_limit:
            _, attempt = self._queue.popitem(0)
            self._admit(attempt)
        if not self._running:
            return
        seconds = (self._options.base_step_seconds +
                   self._options.stream_step_seconds * self.running +
                   self._prefill_seconds)
        self._prefill_seconds = 0.0
        self._timer = self._reactor.callLater(
            seconds * self._injector.faults.straggle_factor, self._end_step)

    def _admit(self, attempt: attempt_module.Attempt) -> None:
        attempt.state = attempt_module.AttemptState.STARTED
        self.log.append(attempt)
        self._running.append(attempt)
        cached = self._cache.use(attempt.prompt_words)
        uncached = len(attempt.prompt_words) - cached
        self._prefill_seconds += (uncached *
                                  self._options.prefill_token_seconds)

    def _end_step(self) -> None:
        if any(attempt.is_poison for attempt in self._running):
            self._timer = None
            self._crash()
            return
        for attempt in list(self._running):
            if attempt in self._running:
                self._advance(attempt)
        self._start_step()

    def _advance(self, attempt: attempt_module.Attempt) -> None:
        if attempt.sent < len(attempt.tokens):
            self._send_token(attempt)
        if self._is_cut(attempt):
            return
        if attempt.sent < len(attempt.tokens):
            return
        self._running.remove(attempt)
        self._end(attempt, attempt_module.AttemptState.FINISHED)
        attempt.sink.finish(attempt.finish_reason, len(attempt.prompt_words),
                            attempt.sent)

    def _send_token(self, attempt: attempt_module.Attempt) -> None:
        own = event_faults.Event(attempt.attempt_id,
                                 attempt.tokens[attempt.sent])
        other = next((stream for stream in self._running
                      if stream is not attempt and stream.tokens), None)
        events = event_faults.make_events(self._injector, own, other,
                                          self._ended)
        attempt.sent += 1
        for event in events:
            attempt.sink.send_token(event.attempt_id, event.text)

    def _is_cut(self, attempt: attempt_module.Attempt) -> bool:
        """Ends a stream early when a fault says so."""
        if attempt.sent < self._injector.faults.truncate_after:
            return False
        if self._injector.take("truncate_streams"):
            end = attempt.sink.cut
        elif self._injector.take("reset_streams"):
            end = attempt.sink.reset
        else:
            return False
        self._running.remove(attempt)
        self._end(attempt, attempt_module.AttemptState.CUT)
        end()
        return True

    def _end(self, attempt: attempt_module.Attempt,
             state: attempt_module.AttemptState) -> None:
        attempt.state = state
        if attempt.tokens:
            self._ended = attempt
