"""Upper bound: a queue that knows the output lengths in advance."""

import sortedcontainers

from mustardwood.benchmarks import pending_request
from mustardwood.benchmarks import baseline_policy

_SLOTS_PER_ENDPOINT = 18
"""Maximum number of concurrent requests on an endpoint, limited by the target
for the time between tokens."""


class Oracle(baseline_policy.BaselinePolicy):
    """Starts the shortest request that can still meet its latency target.

    It knows the output lengths, has one unbounded queue without network delay,
    and ignores tiers and guaranteed floors. It is an upper bound for the
    goodput and for the attainment over all requests, but not for the
    attainment of a single class.
    """

    name = "oracle of lengths"

    def __init__(self) -> None:
        super().__init__()
        self._on_time = sortedcontainers.SortedKeyList(key=_rank_by_length)
        self._late = sortedcontainers.SortedKeyList(key=_rank_by_length)

    def _place_request(self, pending: pending_request.PendingRequest) -> None:
        self._on_time.add(pending)
        target = pending.request.request_class.first_token_seconds
        self._environment.timeline.call_at(pending.request.arrival + target,
                                           lambda: self._mark_late(pending))
        self._start_waiting()

    def _mark_late(self, pending: pending_request.PendingRequest) -> None:
        if pending in self._on_time:
            self._on_time.remove(pending)
            self._late.add(pending)

    def _release_slot(self, pending: pending_request.PendingRequest) -> None:
        super()._release_slot(pending)
        self._environment.timeline.call_later(0.0, self._start_waiting)

    def _remove_waiting(self, pending: pending_request.PendingRequest) -> None:
        self._on_time.discard(pending)
        self._late.discard(pending)

    def _start_waiting(self) -> None:
        while self._on_time or self._late:
            usable = self._list_usable()
            endpoint = min(usable, key=lambda each: self.outstanding[each])
            if self.outstanding[endpoint] >= _SLOTS_PER_ENDPOINT:
                return
            queue = self._on_time or self._late
            pending = queue.pop(0)
            self._send(pending, endpoint, pending.request.request_class.tier)


def _rank_by_length(pending: pending_request.PendingRequest) -> tuple[int, str]:
    return pending.request.output_tokens, pending.request.request_id
