"""Upper bound: a queue that knows the lengths of answers."""

import sortedcontainers

from mustardwood.benchmarks import open_attempt
from mustardwood.benchmarks import runner_base

_SLOTS = 18
"""Requests that run at once on an endpoint, as many as the time between tokens
allows."""


class Oracle(runner_base.BaselinePolicy):
    """Shortest answer first among those that can still meet their target.

    It knows lengths, has no delays, one queue and no bound, and keeps no order
    of tiers and no floor. It bounds the attainment of all requests together
    and the goodput, not those of single classes.
    """

    name = "oracle of lengths"

    def __init__(self) -> None:
        super().__init__()
        self._timely = sortedcontainers.SortedKeyList(key=_rank_by_length)
        self._late = sortedcontainers.SortedKeyList(key=_rank_by_length)

    def _place(self, one: open_attempt.OpenAttempt) -> None:
        self._timely.add(one)
        target = one.request.request_class.first_token_seconds
        self._world.timeline.call_at(one.request.arrival + target,
                                     lambda: self._mark_late(one))
        self._fill()

    def _mark_late(self, one: open_attempt.OpenAttempt) -> None:
        if one in self._timely:
            self._timely.remove(one)
            self._late.add(one)

    def _free(self, one: open_attempt.OpenAttempt) -> None:
        super()._free(one)
        self._world.timeline.call_later(0.0, self._fill)

    def _remove(self, one: open_attempt.OpenAttempt) -> None:
        self._timely.discard(one)
        self._late.discard(one)

    def _fill(self) -> None:
        while self._timely or self._late:
            usable = self._list_usable()
            endpoint = min(usable, key=lambda each: self.outstanding[each])
            if self.outstanding[endpoint] >= _SLOTS:
                return
            queue = self._timely or self._late
            one = queue.pop(0)
            self._send(one, endpoint, one.request.request_class.tier)


def _rank_by_length(one: open_attempt.OpenAttempt) -> tuple[int, str]:
    return one.request.output_tokens, one.request.request_id
