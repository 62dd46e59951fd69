"""Model of an inference engine with chunked prefill."""

import dataclasses

from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import prompt_cache
from mustardwood.benchmarks.streams import run as run_module
from mustardwood.dispatch import service_request

_MAX_WAITING = 25
"""Maximum number of waiting requests; further ones are rejected."""


class StreamEngine:
    """Runs requests step by step, after [1]_.

    A step generates a token for each decoding request and prefills a chunk of
    one prompt, the most urgent first. If slots or memory run out, a waiting
    request preempts less urgent ones: the newest of the least urgent, which is
    queued and prefilled again. Late load reports and timing noise of the users'
    engines are not modelled.

    Attributes:
        version: Version of its software, which its events carry as data.
        prefilled_tokens: Number of prompt tokens prefilled.
        preemptions: Number of requests preempted.
        inverted_preemptions: Number of requests preempted while a request ran
            on whose organisation and route are less urgent.
        busy_seconds: Time of all its steps, in seconds.

    References:
        .. [1] A. Agrawal et al., "Taming throughput-latency tradeoff in LLM
           inference with Sarathi-Serve", OSDI 2024.
    """

    def __init__(self,
                 parameters: engine_parameters.EngineParameters,
                 timeline: timeline_module.Timeline,
                 version: str = "v1") -> None:
        self.version = version
        self.prefilled_tokens = 0
        self.preemptions = 0
        self.inverted_preemptions = 0
        self.busy_seconds = 0.0
        self._stalled_until = 0.0
        self._parameters = parameters
        self._timeline = timeline
        self._cache = prompt_cache.PromptCache()
        self._arriving: list[run_module.Run] = []
        self._waiting: list[run_module.Run] = []
        self._prefilling: list[run_module.Run] = []
        self._decoding: list[run_module.Run] = []
        self._is_stepping = False
        self._speed = 1.0

    def set_speed(self, speed: float) -> None:
        """Sets the speed of the following steps, relative to the parameters."""
        self._speed = speed

    def count_output_tokens(self,
                            request: service_request.ServiceRequest) -> int:
        """Returns the length of the complete response in tokens."""
        return max(
            1,
            round(request.prompt.output_tokens * self._parameters.output_share))

    def submit(self, run: run_module.Run) -> bool:
        """Queues a request; returns False if the queue is full."""
        if len(self._waiting) >= _MAX_WAITING:
            return False
        run.submitted_at = self._timeline.seconds
        if self._parameters.base_time:
            self._arriving.append(run)
            self._timeline.call_later(self._parameters.base_time / self._speed,
                                      lambda: self._enqueue_arrived(run))
        else:
            self._enqueue(run)
        return True

    def cancel(self, run: run_module.Run) -> None:
        """Removes a request whose connection was closed by the router."""
        for group in (self._arriving, self._waiting, self._prefilling,
                      self._decoding):
            if run in group:
                group.remove(run)

    def slow_down(self, factor: float) -> None:
        """Multiplies the duration of all further steps by a factor."""
        self._parameters = dataclasses.replace(
            self._parameters, slowdown=self._parameters.slowdown * factor)

    def stall(self, seconds: float) -> None:
        """Prolongs the next step until a time in seconds from now."""
        self._stalled_until = self._timeline.seconds + seconds

    def crash(self) -> None:
        """Fails all requests and clears the prompt cache."""
        interrupted = (self._arriving + self._waiting + self._prefilling +
                       self._decoding)
        self._arriving, self._waiting = [], []
        self._prefilling, self._decoding = [], []
        self._cache.clear()
        for run in interrupted:
            run.listener.receive_failure(True, "connection lost")

    def _enqueue_arrived(self, run: run_module.Run) -> None:
        if run in self._arriving:
            self._arriving.remove(run)
            self._enqueue(run)

    def _enqueue(self, run: run_module.Run) -> None:
        self._waiting.append(run)
        self._waiting.sort(key=_rank)
        self._start_step()

    def _start_step(self) -> None:
        if self._is_stepping:
            return
        self._admit()
        if not self._prefilling and not self._decoding:
            return
        self._is_stepping = True
        parameters = self._parameters
        chunk = 0
        if self._prefilling:
            chunk = min(self._prefilling[0].remaining_prefill_tokens,
                        parameters.chunk_tokens)
        prefilling_run = self._prefilling[0] if self._prefilling else None
        seconds = (self._compute_step_time() + chunk / parameters.prefill_rate +
                   self._compute_pair_time(prefilling_run, chunk)
                  ) * parameters.slowdown / self._speed
        self.busy_seconds += seconds
        seconds += max(0.0, self._stalled_until - self._timeline.seconds)
        self._timeline.call_later(seconds,
                                  lambda: self._end_step(prefilling_run, chunk))

    def _compute_step_time(self) -> float:
        """Returns the seconds of a step without the prefill in it."""
        parameters = self._parameters
        running = self._prefilling + self._decoding
        seconds = (parameters.step_time +
                   parameters.stream_step_time * len(running))
        if parameters.context_step_time:
            held = sum(each.held_tokens for each in running)
            seconds += parameters.context_step_time * held / 1_000
        return seconds

    def _compute_pair_time(self, run: run_module.Run | None,
                           chunk: int) -> float:
        """Returns the seconds for the pairs of a chunk with all tokens before.
        """
        if run is None or not self._parameters.pair_time:
            return 0.0
        before = max(0, _count_tokens(run) - run.remaining_prefill_tokens)
        return (self._parameters.pair_time * chunk * (before + chunk / 2) /
                1_000_000)

    def _end_step(self, prefilling_run: run_module.Run | None,
                  chunk: int) -> None:
        self._is_stepping = False
        for run in list(self._decoding):
            if run in self._decoding:
                self._add_token(run)
        if prefilling_run is not None and prefilling_run in self._prefilling:
            self.prefilled_tokens += chunk
            prefilling_run.remaining_prefill_tokens -= chunk
            if prefilling_run.remaining_prefill_tokens <= 0:
                self._prefilling.remove(prefilling_run)
                self._decoding.append(prefilling_run)
                if not prefilling_run.generated_tokens:
                    prefilling_run.listener.receive_head(200, [], True, False)
                self._add_token(prefilling_run)
        self._start_step()

    def _add_token(self, run: run_module.Run) -> None:
        run.generated_tokens += 1
        run.held_tokens += 1
        size = self._parameters.event_tokens
        is_complete = run.generated_tokens >= run.output_tokens
        if (run.generated_tokens == 1 or is_complete or
                run.generated_tokens % size == 0):
            run.last_event_id += 1
            run.listener.receive_data(
                b"id: %d\ndata: %s\n\n" %
                (run.last_event_id, self.version.encode()))
        if is_complete and run in self._decoding:
            self._decoding.remove(run)
            run.listener.receive_end()

    def _admit(self) -> None:
        parameters = self._parameters
        while self._waiting:
            running = self._prefilling + self._decoding
            held = sum(each.held_tokens for each in running)
            tokens = _count_tokens(self._waiting[0])
            if (len(running) >= parameters.slots or
                (running and held + tokens > parameters.memory_tokens)):
                if not self._preempt_for(self._waiting[0]):
                    return
                continue
            run = self._waiting.pop(0)
            run.remaining_prefill_tokens = max(
                1,
                self._cache.admit_prompt(run.request.prompt) +
                run.generated_tokens)
            run.held_tokens = tokens
            self._cache.evict_to(max(0, parameters.memory_tokens - held))
            self._prefilling.append(run)
            self._prefilling.sort(key=_rank)

    def _preempt_for(self, waiting: run_module.Run) -> bool:
        """Preempts a request that is less urgent than a waiting one, if any."""
        running = self._prefilling + self._decoding
        victim = max(running, key=_rank)
        if victim.request.tier <= waiting.request.tier:
            return False
        for group in (self._prefilling, self._decoding):
            if victim in group:
                group.remove(victim)
        victim.held_tokens = 0
        self._waiting.append(victim)
        self._waiting.sort(key=_rank)
        self.preemptions += 1
        if any(
                _find_priorities(each) > _find_priorities(victim)
                for each in running):
            self.inverted_preemptions += 1
        return True


def _count_tokens(run: run_module.Run) -> int:
    return run.request.prompt.input_tokens + run.generated_tokens


def _rank(run: run_module.Run) -> tuple[int, float]:
    request: service_request.ServiceRequest = run.request
    return request.tier, run.submitted_at


def _find_priorities(run: run_module.Run) -> tuple[int, int]:
    """Returns the priorities of organisation and route; 0 is most urgent."""
    request: service_request.ServiceRequest = run.request
    organisation_tier = (request.route_tier if request.organisation_tier is None
                         else request.organisation_tier)
    return organisation_tier, request.route_tier
