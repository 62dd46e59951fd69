"""One queue for all endpoints, without delay."""

import sortedcontainers

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import open_attempt
from mustardwood.benchmarks import runner_base


class CentralQueue(runner_base.BaselinePolicy):
    """Sends the first of one ordered queue when an endpoint has a free slot.

    Args:
        slots: Requests that run at once on an endpoint.
        bound: Requests that wait; beyond it the last in order is refused.
    """

    def __init__(self, slots: int, bound: int) -> None:
        super().__init__()
        self._slots = slots
        self._bound = bound
        self._waiting: sortedcontainers.SortedKeyList = (
            sortedcontainers.SortedKeyList(key=lambda one: (*self._rank(
                one.request), one.request.request_id)))

    def _rank(self, request: bench_request.BenchRequest) -> tuple[float, ...]:
        return (request.request_class.tier, request.arrival)

    def _place(self, one: open_attempt.OpenAttempt) -> None:
        self._waiting.add(one)
        self._fill()
        while len(self._waiting) > self._bound:
            last = self._waiting.pop()
            last.is_over = True
            self._world.recorder.note_refusal(last.request)

    def _free(self, one: open_attempt.OpenAttempt) -> None:
        super()._free(one)
        self._world.timeline.call_later(0.0, self._fill)

    def _remove(self, one: open_attempt.OpenAttempt) -> None:
        self._waiting.discard(one)

    def _fill(self) -> None:
        while self._waiting:
            usable = self._list_usable()
            endpoint = min(usable, key=lambda each: self.outstanding[each])
            if self.outstanding[endpoint] >= self._slots:
                return
            one = self._waiting.pop(0)
            self._send(one, endpoint, one.request.request_class.tier)
