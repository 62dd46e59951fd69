"""What the baseline policies share."""

import abc
import collections

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import open_attempt
from mustardwood.benchmarks import world as world_module

_ATTEMPT_LIMIT = 3


class BaselinePolicy(abc.ABC):
    """Sends attempts, repeats cut ones from the start, keeps deadlines.

    Attributes:
        name: Name for tables.
        control_bytes: Always 0; baselines exchange no messages.
    """

    name = ""
    control_bytes = 0

    def __init__(self) -> None:
        self._world: world_module.World
        self.outstanding: collections.Counter[str] = collections.Counter()

    def start(self, world: world_module.World) -> None:
        """Prepares for a run in a world."""
        self._world = world
        world.start_reports()

    def lose_owner(self) -> None:
        """Does nothing; no VM of a baseline decides for others."""

    def arrive(self, request: bench_request.BenchRequest) -> None:
        """Takes a request."""
        self._world.recorder.note_arrival(request)
        one = open_attempt.OpenAttempt(request)
        self._world.timeline.call_later(request.request_class.deadline_seconds,
                                        lambda: self._expire(one))
        self._place(one)

    @abc.abstractmethod
    def _place(self, one: open_attempt.OpenAttempt) -> None:
        """Sends a request or makes it wait."""

    @abc.abstractmethod
    def _remove(self, one: open_attempt.OpenAttempt) -> None:
        """Forgets a request that waits."""

    def _free(self, one: open_attempt.OpenAttempt) -> None:
        """Notes that an attempt has ended at its endpoint."""
        self.outstanding[one.endpoint] -= 1

    def _send(self, one: open_attempt.OpenAttempt, endpoint: str,
              priority: int) -> None:
        one.endpoint = endpoint
        one.attempts += 1
        self.outstanding[endpoint] += 1
        request = one.request
        one.sequence = self._world.run_attempt(
            request, request.vm, endpoint, f"{request.request_id}/"
            f"{one.attempts}", priority, 0,
            lambda: self._world.recorder.note_first(request),
            lambda whole: self._end(one, whole))

    def _end(self, one: open_attempt.OpenAttempt, whole: bool) -> None:
        if one.is_over:
            return
        self._free(one)
        if whole:
            one.is_over = True
            self._world.recorder.note_whole(one.request)
        elif one.attempts >= _ATTEMPT_LIMIT:
            one.is_over = True
            self._world.recorder.note_refusal(one.request)
        else:
            one.sequence = None
            self._place(one)

    def _expire(self, one: open_attempt.OpenAttempt) -> None:
        if one.is_over:
            return
        one.is_over = True
        self._world.recorder.note_refusal(one.request)
        if one.sequence is None:
            self._remove(one)
        else:
            self._world.engines[one.endpoint].cancel(one.sequence)
            self._free(one)

    def _list_usable(self) -> list[str]:
        return [
            each.name
            for each in self._world.endpoints
            if each.name not in self._world.down
        ]
