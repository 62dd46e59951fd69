"""Baseline: power of two choices on probed load, with priorities."""

import collections

from mustardwood.benchmarks import open_attempt
from mustardwood.benchmarks import runner_base

_CHOICES = 2


class PowerOfTwo(runner_base.BaselinePolicy):
    """Each VM alone takes the better of two random endpoints [1]_.

    References:
        .. [1] M. Mitzenmacher, "The power of two choices in randomized load
           balancing", IEEE TPDS 12(10), 2001.
    """

    name = "power of two, priorities"

    def __init__(self) -> None:
        super().__init__()
        self._own: collections.Counter[tuple[str, str]] = collections.Counter()

    def _place(self, one: open_attempt.OpenAttempt) -> None:
        vm = one.request.vm
        usable = self._list_usable()
        drawn = self._world.rng.sample(usable, min(_CHOICES, len(usable)))
        endpoint = min(drawn, key=lambda each: self._score(vm, each))
        self._own[vm, endpoint] += 1
        self._send(one, endpoint, priority=one.request.request_class.tier)

    def _score(self, vm: str, endpoint: str) -> int:
        load = self._world.read_load(endpoint)
        return load.running + load.queued + self._own[vm, endpoint]

    def _free(self, one: open_attempt.OpenAttempt) -> None:
        super()._free(one)
        self._own[one.request.vm, one.endpoint] -= 1

    def _remove(self, one: open_attempt.OpenAttempt) -> None:
        del one
