"""Continuous batching of a stand-in engine."""

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

_MAX_LOG_ENTRIES = 100_000
"""Number of attempts that the log keeps; older ones are dropped."""


class Engine:
    """Runs attempts with continuous batching.

    Each step sends one token to every stream in the batch. Queued attempts
    enter the batch between two steps, the most urgent first; the time of their
    prefill is added to the next step. One timer serves the whole batch.

    Args:
        reactor: Reactor whose timer drives the steps.
        options: Capacity and speed.
        injector: The faults to show.
        crash: Function that ends the process or drops its connections.

    Attributes:
        log: Attempts that were started, in order of their start.
    """

    def __init__(self, reactor: typing.Any,
                 options: engine_options.EngineOptions,
                 injector: fault_injector.FaultInjector[faults_module.Faults],
                 crash: collections.abc.Callable[[], None]) -> None:
        self.log: collections.deque[attempt_module.Attempt] = (
            collections.deque(maxlen=_MAX_LOG_ENTRIES))
        self._reactor = reactor
        self._options = options
        self._injector = injector
        self._crash = crash
        self._prefix_cache = prefix_cache.PrefixCache(options.cache_tokens)
        self._running: list[attempt_module.Attempt] = []
        self._queue: typing.Any = sortedcontainers.SortedDict()
        self._sequence = itertools.count()
        self._prefill_seconds = 0.0
        self._timer: typing.Any = None
        self._last_ended: attempt_module.Attempt | None = None

    @property
    def running(self) -> int:
        """Number of streams in the batch."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of attempts in the queue."""
        return len(self._queue)

    @property
    def cached_tokens(self) -> int:
        """Number of tokens in the prefix cache."""
        return self._prefix_cache.size

    @property
    def is_full(self) -> bool:
        """Whether batch and queue are full, so that requests are refused."""
        return (self.running >= self._options.batch_limit and
                self.queued >= self._options.queue_limit)

    def submit(self, attempt: attempt_module.Attempt) -> None:
        """Queues an attempt. Must not be called while `is_full`."""
        self._queue[attempt.priority, next(self._sequence)] = attempt
        if self._timer is None:
            self._start_step()

    def cancel(self, attempt_id: str) -> attempt_module.Attempt | None:
        """Cancels a queued or running attempt.

        Returns:
            The attempt; None if it is neither queued nor running.
        """
        attempt = self._remove(attempt_id)
        if attempt is not None:
            self._record_end(attempt, attempt_module.AttemptState.CANCELLED)
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
        """Resets all streams and clears queue and cache, as a crash does."""
        lost_attempts = [*self._running, *self._queue.values()]
        self._running.clear()
        self._queue.clear()
        self._prefix_cache = prefix_cache.PrefixCache(
            self._options.cache_tokens)
        for attempt in lost_attempts:
            self._record_end(attempt, attempt_module.AttemptState.CRASHED)
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
        cached = self._prefix_cache.look_up_and_insert(attempt.prompt_words)
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
        if self._truncate_if_faulty(attempt):
            return
        if attempt.sent < len(attempt.tokens):
            return
        self._running.remove(attempt)
        self._record_end(attempt, attempt_module.AttemptState.FINISHED)
        attempt.sink.finish(attempt.finish_reason, len(attempt.prompt_words),
                            attempt.sent)

    def _send_token(self, attempt: attempt_module.Attempt) -> None:
        own_event = event_faults.Event(attempt.attempt_id,
                                       attempt.tokens[attempt.sent])
        other_attempt = next((stream for stream in self._running
                              if stream is not attempt and stream.tokens), None)
        events = event_faults.make_events(self._injector, own_event,
                                          other_attempt, self._last_ended)
        attempt.sent += 1
        for event in events:
            attempt.sink.send_token(event.attempt_id, event.text)

    def _truncate_if_faulty(self, attempt: attempt_module.Attempt) -> bool:
        """Ends a stream early if a fault is set; returns whether it did."""
        if attempt.sent < self._injector.faults.truncate_after:
            return False
        if self._injector.take("truncate_streams"):
            end_stream = attempt.sink.truncate
        elif self._injector.take("reset_streams"):
            end_stream = attempt.sink.reset
        else:
            return False
        self._running.remove(attempt)
        self._record_end(attempt, attempt_module.AttemptState.CUT)
        end_stream()
        return True

    def _record_end(self, attempt: attempt_module.Attempt,
                    state: attempt_module.AttemptState) -> None:
        attempt.state = state
        if attempt.tokens:
            self._last_ended = attempt
