"""Baseline with one ordered queue for all endpoints."""

import sortedcontainers

from mustardwood.benchmarks import bench_request
from mustardwood.benchmarks import pending_request
from mustardwood.benchmarks import baseline_policy


class CentralQueue(baseline_policy.BaselinePolicy):
    """Sends the first queued request when an endpoint has a free slot.

    The queue has no network delay to the entries.

    Args:
        slots_per_endpoint: Maximum number of concurrent requests on an
            endpoint.
        max_waiting: Maximum queue length; beyond it the last request in queue
            order is refused.
    """

    def __init__(self, slots_per_endpoint: int, max_waiting: int) -> None:
        super().__init__()
        self._slots_per_endpoint = slots_per_endpoint
        self._max_waiting = max_waiting
        self._waiting: sortedcontainers.SortedKeyList = (
            sortedcontainers.SortedKeyList(
                key=lambda pending: (*self._compute_rank(pending.request),
                                     pending.request.request_id)))

    def _compute_rank(self,
                      request: bench_request.BenchRequest) -> tuple[float, ...]:
        return (request.request_class.tier, request.arrival)

    def _place_request(self, pending: pending_request.PendingRequest) -> None:
        self._waiting.add(pending)
        self._start_waiting()
        while len(self._waiting) > self._max_waiting:
            last = self._waiting.pop()
            last.is_over = True
            self._environment.recorder.record_refusal(last.request)

    def _release_slot(self, pending: pending_request.PendingRequest) -> None:
        super()._release_slot(pending)
        self._environment.timeline.call_later(0.0, self._start_waiting)

    def _remove_waiting(self, pending: pending_request.PendingRequest) -> None:
        self._waiting.discard(pending)

    def _start_waiting(self) -> None:
        while self._waiting:
            usable = self._list_usable()
            endpoint = min(usable, key=lambda each: self.outstanding[each])
            if self.outstanding[endpoint] >= self._slots_per_endpoint:
                return
            pending = self._waiting.pop(0)
            self._send(pending, endpoint, pending.request.request_class.tier)
