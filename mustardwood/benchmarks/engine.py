"""A model of an engine with continuous batching."""

import collections
import functools

from mustardwood.benchmarks import engine_settings
from mustardwood.benchmarks import sequence
from mustardwood.benchmarks import timeline as timeline_module

_EPSILON = 1e-9


class Engine:
    """Runs sequences in virtual time.

    All decoding sequences advance at the same rate, so a common counter of
    tokens tells when each one ends; it moves only at changes of the batch.
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
        """Number of sequences in the batch."""
        return len(self._decoding) + len(self._prefilling)

    @property
    def queued(self) -> int:
        """Number of sequences that wait for the batch."""
        return len(self._waiting)

    @property
    def prefix_count(self) -> int:
        """Number of cached prefixes."""
        return len(self._prefixes)

    def submit(self, attempt: sequence.Sequence) -> None:
        """Accepts an attempt."""
        self._advance()
        self._waiting.append(attempt)
        self._waiting.sort(key=lambda each: each.priority)
        self._update_batch()

    def cancel(self, attempt: sequence.Sequence) -> None:
        """Drops an attempt without its end."""
        self._advance()
        self._remove(attempt)
        self._update_batch()

    def crash(self) -> None:
        """Cuts all attempts and forgets the cache."""
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
        """Multiplies the time of each step from now on."""
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
        """Moves finished sequences on and schedules the next change."""
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
