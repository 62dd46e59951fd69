"""A model of an engine that reads prompts between the tokens of streams."""

from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import engine_figures
from mustardwood.benchmarks.streams import prompt_cache
from mustardwood.benchmarks.streams import run as run_module
from mustardwood.dispatch import service_request

_QUEUE = 25
"""Requests that wait for the batch before others are turned away."""


class StreamEngine:
    """Runs requests step by step, after [1]_.

    A step gives a token to each request that has read its prompt, and reads a
    chunk of one prompt, the most urgent first. Preemption, late reports and
    noise of the users' engines are not modelled.

    Attributes:
        read_tokens: Prompt tokens that were read.

    References:
        .. [1] A. Agrawal et al., "Taming throughput-latency tradeoff in LLM
           inference with Sarathi-Serve", OSDI 2024.
    """

    def __init__(self, figures: engine_figures.EngineFigures,
                 timeline: timeline_module.Timeline) -> None:
        self.read_tokens = 0
        self._figures = figures
        self._timeline = timeline
        self._cache = prompt_cache.PromptCache()
        self._waiting: list[run_module.Run] = []
        self._reading: list[run_module.Run] = []
        self._streaming: list[run_module.Run] = []
        self._is_stepping = False

    def submit(self, run: run_module.Run) -> bool:
        """Takes a request; returns False if there is no place for it."""
        if len(self._waiting) >= _QUEUE:
            return False
        self._waiting.append(run)
        self._waiting.sort(key=_rank)
        self._step_on()
        return True

    def drop(self, run: run_module.Run) -> None:
        """Ends a request whose connection was closed."""
        for group in (self._waiting, self._reading, self._streaming):
            if run in group:
                group.remove(run)

    def crash(self) -> None:
        """Breaks all connections and forgets the cache."""
        lost = self._waiting + self._reading + self._streaming
        self._waiting, self._reading, self._streaming = [], [], []
        self._cache.clear()
        for run in lost:
            run.listener.receive_failure(True, "connection lost")

    def _step_on(self) -> None:
        if self._is_stepping:
            return
        self._admit()
        if not self._reading and not self._streaming:
            return
        self._is_stepping = True
        figures = self._figures
        chunk = 0
        if self._reading:
            chunk = min(self._reading[0].prefill_left, figures.chunk_tokens)
        count = len(self._reading) + len(self._streaming)
        seconds = (figures.step_time + figures.stream_step_time * count +
                   chunk / figures.prefill_rate) * figures.slowness
        reader = self._reading[0] if self._reading else None
        self._timeline.call_later(seconds,
                                  lambda: self._end_step(reader, chunk))

    def _end_step(self, reader: run_module.Run | None, chunk: int) -> None:
        self._is_stepping = False
        for run in list(self._streaming):
            if run in self._streaming:
                self._add_token(run)
        if reader is not None and reader in self._reading:
            self.read_tokens += chunk
            reader.prefill_left -= chunk
            if reader.prefill_left <= 0:
                self._reading.remove(reader)
                self._streaming.append(reader)
                reader.listener.receive_head(200, [], True, False)
                self._add_token(reader)
        self._step_on()

    def _add_token(self, run: run_module.Run) -> None:
        run.made += 1
        run.held_tokens += 1
        size = self._figures.event_tokens
        is_whole = run.made >= run.output_tokens
        if run.made == 1 or is_whole or run.made % size == 0:
            run.told += 1
            run.listener.receive_data(b"id: %d\ndata: x\n\n" % run.told)
        if is_whole and run in self._streaming:
            self._streaming.remove(run)
            run.listener.receive_end()

    def _admit(self) -> None:
        figures = self._figures
        while self._waiting:
            running = self._reading + self._streaming
            held = sum(each.held_tokens for each in running)
            tokens = self._waiting[0].request.prompt.input_tokens
            if (len(running) >= figures.slots or
                (running and held + tokens > figures.memory_tokens)):
                return
            run = self._waiting.pop(0)
            run.prefill_left = max(1, self._cache.read(run.request.prompt))
            run.held_tokens = tokens
            self._cache.shrink(max(0, figures.memory_tokens - held))
            self._reading.append(run)
            self._reading.sort(key=_rank)


def _rank(run: run_module.Run) -> tuple[int, float]:
    request: service_request.ServiceRequest = run.request
    return request.tier, request.arrived_at.total_seconds()
