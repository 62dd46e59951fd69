"""Baseline that selects the endpoint with the least outstanding requests."""

import collections

from mustardwood.benchmarks import pending_request
from mustardwood.benchmarks import baseline_policy


class LeastOutstanding(baseline_policy.BaselinePolicy):
    """Sends each request to the endpoint with the fewest requests of its VM.

    Each VM counts only its own requests; engines queue in order of arrival.
    """

    name = "least outstanding, FIFO"

    def __init__(self) -> None:
        super().__init__()
        self._own_outstanding: collections.Counter[tuple[
            str, str]] = collections.Counter()

    def _place_request(self, pending: pending_request.PendingRequest) -> None:
        vm = pending.request.vm
        usable = self._list_usable()
        self._environment.rng.shuffle(usable)
        endpoint = min(usable, key=lambda each: self._own_outstanding[vm, each])
        self._own_outstanding[vm, endpoint] += 1
        self._send(pending, endpoint, priority=0)

    def _release_slot(self, pending: pending_request.PendingRequest) -> None:
        super()._release_slot(pending)
        self._own_outstanding[pending.request.vm, pending.endpoint] -= 1

    def _remove_waiting(self, pending: pending_request.PendingRequest) -> None:
        del pending
