"""Baseline: power of two choices on reported load, with priorities."""

import collections

from mustardwood.benchmarks import pending_request
from mustardwood.benchmarks import baseline_policy

_SAMPLE_SIZE = 2


class PowerOfTwo(baseline_policy.BaselinePolicy):
    """Sends each request to the less loaded of two random endpoints [1]_.

    The load is the last report of the engine plus the VM's own outstanding
    requests.

    References:
        .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE TPDS 12(10), 2001.
    """

    name = "power of two, priorities"

    def __init__(self) -> None:
        super().__init__()
        self._own_outstanding: collections.Counter[tuple[
            str, str]] = collections.Counter()

    def _place_request(self, pending: pending_request.PendingRequest) -> None:
        vm = pending.request.vm
        usable = self._list_usable()
        candidates = self._environment.rng.sample(
            usable, min(_SAMPLE_SIZE, len(usable)))
        endpoint = min(candidates,
                       key=lambda each: self._compute_score(vm, each))
        self._own_outstanding[vm, endpoint] += 1
        self._send(pending,
                   endpoint,
                   priority=pending.request.request_class.tier)

    def _compute_score(self, vm: str, endpoint: str) -> int:
        load = self._environment.read_load(endpoint)
        return load.running + load.queued + self._own_outstanding[vm, endpoint]

    def _release_slot(self, pending: pending_request.PendingRequest) -> None:
        super()._release_slot(pending)
        self._own_outstanding[pending.request.vm, pending.endpoint] -= 1

    def _remove_waiting(self, pending: pending_request.PendingRequest) -> None:
        del pending
