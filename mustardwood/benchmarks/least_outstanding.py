"""Baseline: least outstanding requests, first in first out."""

import collections

from mustardwood.benchmarks import open_attempt
from mustardwood.benchmarks import runner_base


class LeastOutstanding(runner_base.BaselinePolicy):
    """Each VM alone sends to the endpoint with the fewest of its requests."""

    name = "least outstanding, FIFO"

    def __init__(self) -> None:
        super().__init__()
        self._own: collections.Counter[tuple[str, str]] = collections.Counter()

    def _place(self, one: open_attempt.OpenAttempt) -> None:
        vm = one.request.vm
        usable = self._list_usable()
        self._world.rng.shuffle(usable)
        endpoint = min(usable, key=lambda each: self._own[vm, each])
        self._own[vm, endpoint] += 1
        self._send(one, endpoint, priority=0)

    def _free(self, one: open_attempt.OpenAttempt) -> None:
        super()._free(one)
        self._own[one.request.vm, one.endpoint] -= 1

    def _remove(self, one: open_attempt.OpenAttempt) -> None:
        del one
