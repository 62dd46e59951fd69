"""Model of an inference engine with continuous batching."""

import collections
import functools

from mustardwood.benchmarks import engine_settings
from mustardwood.benchmarks import sequence
from mustardwood.benchmarks import timeline as timeline_module

_EPSILON = 1e-9


class Engine:
    """Runs sequences in simulated time.

    Each step generates one token for every decoding sequence, so one step
    counter determines when each sequence finishes. The counter is updated
    only when the batch changes.

    Attributes:
        name: Name of the endpoint.
        slowdown: Factor by which every step is slower than configured.
        generated_tokens: Number of tokens generated, also by attempts that
            were interrupted; fractional between two steps.
        completed_tokens: Number of tokens of completed sequences.
    """

    def __init__(self, name: str, settings: engine_settings.EngineSettings,
                 timeline: timeline_module.Timeline) -> None:
        self.name = name
        self.slowdown = 1.0
        self.generated_tokens = 0.0
        self.completed_tokens = 0.0
        self._settings = settings
        self._timeline = timeline
        self._steps_done = 0.0
        self._updated_at = 0.0
        self._decoding: set[sequence.Sequence] = set()
        self._prefilling: list[sequence.Sequence] = []
        self._waiting: list[sequence.Sequence] = []
        self._prefixes: collections.OrderedDict[
            int, None] = collections.OrderedDict()
        self._generation = 0

    @property
    def running(self) -> int:
        """Number of sequences in the batch, prefilling or decoding."""
        return len(self._decoding) + len(self._prefilling)

    @property
    def queued(self) -> int:
        """Number of sequences that wait to join the batch."""
        return len(self._waiting)

    @property
    def prefix_count(self) -> int:
        """Number of prompt prefixes in the cache."""
        return len(self._prefixes)

    def submit(self, attempt: sequence.Sequence) -> None:
        """Queues an attempt by priority; starts it when the batch has room."""
        self._advance()
        self._waiting.append(attempt)
        self._waiting.sort(key=lambda each: each.priority)
        self._update_batch()

    def cancel(self, attempt: sequence.Sequence) -> None:
        """Removes an attempt without calling its `on_end`."""
        self._advance()
        self._remove(attempt)
        self._update_batch()

    def crash(self) -> None:
        """Interrupts all attempts and clears the prefix cache."""
        self._advance()
        interrupted = [*self._decoding, *self._prefilling, *self._waiting]
        self._decoding.clear()
        self._prefilling.clear()
        self._waiting.clear()
        self._prefixes.clear()
        self._generation += 1
        for attempt in interrupted:
            self._record_generated_tokens(attempt)
            attempt.on_end(False)

    def slow_down(self, factor: float) -> None:
        """Multiplies the duration of all further steps by a factor."""
        self._advance()
        self.slowdown = factor
        self._update_batch()

    def _compute_step_seconds(self) -> float:
        seconds = self._settings.base_seconds
        seconds += self._settings.seconds_per_sequence * self.running
        if self._prefilling:
            seconds += self._settings.chunk_seconds
        return seconds * self.slowdown

    def _advance(self) -> None:
        steps = (self._timeline.seconds -
                 self._updated_at) / self._compute_step_seconds()
        self._updated_at = self._timeline.seconds
        self._steps_done += steps
        self.generated_tokens += steps * len(self._decoding)
        if self._prefilling:
            self._prefilling[0].remaining_prefill -= (
                steps * self._settings.chunk_tokens)

    def _update_batch(self) -> None:
        """Updates the batch and schedules its next change.

        Completes finished sequences, moves a prefilled sequence to decoding
        and admits waiting ones.
        """
        self._finish_decoding()
        self._finish_prefill()
        self._admit_waiting()
        self._generation += 1
        wait = self._compute_next_change()
        if wait is not None:
            generation = self._generation
            self._timeline.call_later(wait,
                                      lambda: self._handle_timer(generation))

    def _handle_timer(self, generation: int) -> None:
        if generation == self._generation:
            self._advance()
            self._update_batch()

    def _finish_decoding(self) -> None:
        done = [
            each for each in self._decoding
            if each.finish_step <= self._steps_done + _EPSILON
        ]
        for attempt in sorted(done, key=lambda each: each.attempt_id):
            self._decoding.discard(attempt)
            self.completed_tokens += attempt.output_tokens
            self._timeline.call_later(0.0,
                                      functools.partial(attempt.on_end, True))

    def _finish_prefill(self) -> None:
        if not self._prefilling or self._prefilling[
                0].remaining_prefill > _EPSILON:
            return
        attempt = self._prefilling.pop(0)
        attempt.is_decoding = True
        attempt.start_step = self._steps_done
        attempt.finish_step = self._steps_done + max(attempt.output_tokens - 1,
                                                     0)
        self.generated_tokens += 1
        self._decoding.add(attempt)
        self._timeline.call_later(0.0, attempt.on_first_token)

    def _admit_waiting(self) -> None:
        while self._waiting and self.running < self._settings.batch_limit:
            attempt = self._waiting.pop(0)
            attempt.remaining_prefill = max(
                1.0, self._count_uncached_tokens(attempt))
            self._prefilling.append(attempt)
            self._prefilling.sort(key=lambda each: each.priority)

    def _count_uncached_tokens(self, attempt: sequence.Sequence) -> float:
        if not attempt.prefix:
            return attempt.prompt_tokens
        is_cached = attempt.prefix in self._prefixes
        self._prefixes[attempt.prefix] = None
        self._prefixes.move_to_end(attempt.prefix)
        while len(self._prefixes) > self._settings.cached_prefixes:
            self._prefixes.popitem(last=False)
        saved = self._settings.cached_share if is_cached else 0.0
        return attempt.prompt_tokens * (1.0 - saved)

    def _compute_next_change(self) -> float | None:
        steps = [each.finish_step - self._steps_done for each in self._decoding]
        if self._prefilling:
            left = self._prefilling[0].remaining_prefill
            steps.append(left / self._settings.chunk_tokens)
        if not steps:
            return None
        return max(min(steps), 0.0) * self._compute_step_seconds()

    def _record_generated_tokens(self, attempt: sequence.Sequence) -> None:
        if attempt.is_decoding:
            attempt.tokens_done = 1 + int(self._steps_done - attempt.start_step)

    def _remove(self, attempt: sequence.Sequence) -> None:
        self._decoding.discard(attempt)
        for group in (self._prefilling, self._waiting):
            if attempt in group:
                group.remove(attempt)
