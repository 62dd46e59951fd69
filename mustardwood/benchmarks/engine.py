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
        self.tokens_made = 0.0
        self.tokens_whole = 0.0
        self._settings = settings
        self._timeline = timeline
        self._mark = 0.0
        self._updated = 0.0
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

    def submit(self, one: sequence.Sequence) -> None:
        """Accepts an attempt."""
        self._advance()
        self._waiting.append(one)
        self._waiting.sort(key=lambda each: each.priority)
        self._settle()

    def cancel(self, one: sequence.Sequence) -> None:
        """Drops an attempt without its end."""
        self._advance()
        self._drop(one)
        self._settle()

    def crash(self) -> None:
        """Cuts all attempts and forgets the cache."""
        self._advance()
        cut = [*self._decoding, *self._prefilling, *self._waiting]
        self._decoding.clear()
        self._prefilling.clear()
        self._waiting.clear()
        self._prefixes.clear()
        self._generation += 1
        for one in cut:
            self._count_tokens(one)
            one.on_end(False)

    def slow_down(self, factor: float) -> None:
        """Multiplies the time of each step from now on."""
        self._advance()
        self.slowdown = factor
        self._settle()

    def _step_seconds(self) -> float:
        seconds = self._settings.base_seconds
        seconds += self._settings.slope_seconds * self.running
        if self._prefilling:
            seconds += self._settings.chunk_seconds
        return seconds * self.slowdown

    def _advance(self) -> None:
        steps = (self._timeline.seconds - self._updated) / self._step_seconds()
        self._updated = self._timeline.seconds
        self._mark += steps
        self.tokens_made += steps * len(self._decoding)
        if self._prefilling:
            self._prefilling[0].prefill_left -= (steps *
                                                 self._settings.chunk_tokens)

    def _settle(self) -> None:
        """Moves finished sequences on and schedules the next change."""
        self._finish_decoding()
        self._finish_prefill()
        self._admit()
        self._generation += 1
        wait = self._next_change()
        if wait is not None:
            generation = self._generation
            self._timeline.call_later(wait, lambda: self._wake(generation))

    def _wake(self, generation: int) -> None:
        if generation == self._generation:
            self._advance()
            self._settle()

    def _finish_decoding(self) -> None:
        done = [
            each for each in self._decoding
            if each.finish_mark <= self._mark + _EPSILON
        ]
        for one in sorted(done, key=lambda each: each.attempt_id):
            self._decoding.discard(one)
            self.tokens_whole += one.output_tokens
            self._timeline.call_later(0.0, functools.partial(one.on_end, True))

    def _finish_prefill(self) -> None:
        if not self._prefilling or self._prefilling[0].prefill_left > _EPSILON:
            return
        one = self._prefilling.pop(0)
        one.is_decoding = True
        one.start_mark = self._mark
        one.finish_mark = self._mark + max(one.output_tokens - 1, 0)
        self.tokens_made += 1
        self._decoding.add(one)
        self._timeline.call_later(0.0, one.on_first)

    def _admit(self) -> None:
        while self._waiting and self.running < self._settings.batch_limit:
            one = self._waiting.pop(0)
            one.prefill_left = max(1.0, self._uncached_tokens(one))
            self._prefilling.append(one)
            self._prefilling.sort(key=lambda each: each.priority)

    def _uncached_tokens(self, one: sequence.Sequence) -> float:
        if not one.prefix:
            return one.prompt_tokens
        hit = one.prefix in self._prefixes
        self._prefixes[one.prefix] = None
        self._prefixes.move_to_end(one.prefix)
        while len(self._prefixes) > self._settings.cached_prefixes:
            self._prefixes.popitem(last=False)
        saved = self._settings.cached_share if hit else 0.0
        return one.prompt_tokens * (1.0 - saved)

    def _next_change(self) -> float | None:
        steps = [each.finish_mark - self._mark for each in self._decoding]
        if self._prefilling:
            left = self._prefilling[0].prefill_left
            steps.append(left / self._settings.chunk_tokens)
        if not steps:
            return None
        return max(min(steps), 0.0) * self._step_seconds()

    def _count_tokens(self, one: sequence.Sequence) -> None:
        if one.is_decoding:
            one.tokens_done = 1 + int(self._mark - one.start_mark)

    def _drop(self, one: sequence.Sequence) -> None:
        self._decoding.discard(one)
        for group in (self._prefilling, self._waiting):
            if one in group:
                group.remove(one)
