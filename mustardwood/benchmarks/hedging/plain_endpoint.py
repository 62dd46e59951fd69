"""Model of an endpoint of a plain service."""

import collections
import functools
import random

from mustardwood.benchmarks import timeline as timeline_module
from mustardwood.benchmarks.streams import run as run_module
from mustardwood.dispatch import service_request

_MIN_SECONDS = 0.015
_MAX_SECONDS = 0.030
"""Bounds of the usual time of a request, in seconds."""
_TAIL_SHARE = 0.01
"""Share of the requests that take longer; assumed, not from users."""
_TAIL_FACTOR = 3.0
_TAIL_SHAPE = 1.5
"""Minimum factor on their time and shape of its Pareto distribution."""
_MAX_TAIL_FACTOR = 40.0
"""Maximum factor on the time of a request."""
_MAX_WAITING = 100
"""Maximum number of waiting requests; further ones are rejected."""


class PlainEndpoint:
    """Runs requests in its slots, in the order of their arrival.

    The time of a request has a long tail that is independent of the request,
    as of a pause of the process. It has the interface of `StreamEngine`.

    Attributes:
        version: Version of its software.
        busy_seconds: Time in which its slots were taken, in seconds.
    """

    def __init__(self, slots: int, rng: random.Random,
                 timeline: timeline_module.Timeline) -> None:
        self.version = "v1"
        self.busy_seconds = 0.0
        self._slots = slots
        self._rng = rng
        self._timeline = timeline
        self._waiting: collections.deque[run_module.Run] = collections.deque()
        self._running: dict[int, tuple[run_module.Run, float]] = {}
        self._factor = 1.0
        self._stalled_until = 0.0

    def count_output_tokens(self,
                            request: service_request.ServiceRequest) -> int:
        """See `modelled_endpoint.ModelledEndpoint`."""
        return request.prompt.output_tokens

    def submit(self, run: run_module.Run) -> bool:
        """Queues a request; returns False if the queue is full."""
        if len(self._waiting) >= _MAX_WAITING:
            return False
        self._waiting.append(run)
        self._start()
        return True

    def cancel(self, run: run_module.Run) -> None:
        """Ends a request whose connection was closed by the router."""
        if id(run) in self._running:
            self._release(run)
        elif run in self._waiting:
            self._waiting.remove(run)

    def slow_down(self, factor: float) -> None:
        """Multiplies the time of all further requests by a factor."""
        self._factor *= factor

    def stall(self, seconds: float) -> None:
        """Sends nothing until a time in seconds from now."""
        self._stalled_until = self._timeline.seconds + seconds

    def _start(self) -> None:
        while self._waiting and len(self._running) < self._slots:
            run = self._waiting.popleft()
            self._running[id(run)] = run, self._timeline.seconds
            self._timeline.call_later(self._draw_seconds(),
                                      functools.partial(self._end, run))

    def _draw_seconds(self) -> float:
        seconds = self._rng.uniform(_MIN_SECONDS, _MAX_SECONDS)
        if self._rng.random() < _TAIL_SHARE:
            seconds *= min(_TAIL_FACTOR * self._rng.paretovariate(_TAIL_SHAPE),
                           _MAX_TAIL_FACTOR)
        return seconds * self._factor

    def _end(self, run: run_module.Run) -> None:
        if id(run) not in self._running:
            return
        if self._timeline.seconds < self._stalled_until:
            self._timeline.call_at(self._stalled_until, lambda: self._end(run))
            return
        self._release(run)
        run.listener.receive_head(200, [], True, False)
        run.listener.receive_data(b"data")
        run.listener.receive_end()

    def _release(self, run: run_module.Run) -> None:
        _, started_at = self._running.pop(id(run))
        self.busy_seconds += self._timeline.seconds - started_at
        self._start()
