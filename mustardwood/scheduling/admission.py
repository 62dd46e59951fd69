"""Admission control and load shedding for the queue of a cell."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import refusals
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest
_Reason = messages.RefusalReason


class AdmissionControl:
    """Admits requests to the queue and sheds the lowest tier when it is full.

    The queue's capacity is the sum of the queue limits of all classes. A class
    above its own limit may use capacity that lower tiers leave unused, and may
    displace requests of lower tiers. In the lowest tier that waits, the class
    with the newest request is shed first; in that class the organisation with
    the longest weighted backlog loses its newest request [1]_.

    References:
        .. [1] B. Suter, T. Lakshman, D. Stiliadis and A. Choudhury, "Buffer
           management schemes for supporting TCP in gigabit routers with
           per-flow queueing", IEEE JSAC 17(6), 1999.
    """

    def __init__(self, state: cell_state.CellState) -> None:
        self._state = state

    def admit(self, waiting: _Waiting,
              now: datetime.timedelta) -> tuple[messages.AddressedMessage, ...]:
        """Queues a request, refuses it, or queues it in place of another one.

        A request that no endpoint may run is refused at once. So is a request
        whose deadline would pass in the queue, unless requests of a lower tier
        wait or its class must get a grant to prevent starvation.

        Returns:
            The refusals to send: none, that of the request itself, or that of
            the queued request which it displaced.
        """
        state = self._state
        if not state.pool.has_usable_endpoint(waiting.ask.excluded):
            return (self._refuse(waiting, _Reason.NO_ENDPOINT, now),)
        if self._would_miss_deadline(waiting, now):
            return (self._refuse(waiting, _Reason.DEADLINE, now),)
        if self._has_room(waiting, now):
            self._enqueue(waiting, now)
            return ()
        victim = self._find_victim(waiting)
        if victim is None:
            return (self._refuse(waiting, _Reason.QUEUE_FULL, now),)
        state.queue.remove(victim)
        refusal = self._refuse(victim, _Reason.DISPLACED, now)
        self._enqueue(waiting, now)
        return (refusal,)

    def shed_excess(
            self,
            now: datetime.timedelta) -> tuple[messages.AddressedMessage, ...]:
        """Sheds the requests above the queue's capacity.

        This is called when the learning period of an owner ends. During that
        period the capacity is not enforced: the owner knows the requests of
        only some entries, so it can't tell which tier is the lowest.

        Returns:
            The refusals to send.
        """
        queue = self._state.queue
        refused: list[messages.AddressedMessage] = []
        while len(queue) > self._compute_capacity():
            lowest = queue.find_lowest_tier()
            assert lowest is not None
            victim = queue.find_victim(lowest)
            queue.remove(victim)
            refused.append(self._refuse(victim, _Reason.DISPLACED, now))
        return tuple(refused)

    def _enqueue(self, waiting: _Waiting, now: datetime.timedelta) -> None:
        state = self._state
        state.queue.add(waiting)
        state.starvation_prevention.record_demand(waiting.request_class.name,
                                                  now)
        state.log.record(
            waiting.ask.request_id, now,
            f"Queued in cell {state.cell.name} as class "
            f"{waiting.request_class.name}, {len(state.queue)} waiting.")

    def _refuse(self, waiting: _Waiting, reason: messages.RefusalReason,
                now: datetime.timedelta) -> messages.AddressedMessage:
        return refusals.refuse_request(self._state, waiting, reason, now)

    def _would_miss_deadline(self, waiting: _Waiting,
                             now: datetime.timedelta) -> bool:
        if waiting.deadline_at <= now:
            return True
        if self._has_lower_tier_waiting(waiting.tier):
            return False
        if self._has_unmet_guarantee(waiting, now):
            return False
        delay = self._state.estimate_wait(waiting.tier, now)
        return now + delay >= waiting.deadline_at

    def _has_lower_tier_waiting(self, tier: int) -> bool:
        lowest = self._state.queue.find_lowest_tier()
        return lowest is not None and lowest > tier

    def _has_unmet_guarantee(self, waiting: _Waiting,
                             now: datetime.timedelta) -> bool:
        state = self._state
        name = waiting.request_class.name
        return (not state.queue.find_class(name) and
                state.starvation_prevention.is_due(name, now))

    def _has_room(self, waiting: _Waiting, now: datetime.timedelta) -> bool:
        if self._has_unmet_guarantee(waiting, now):
            return True
        queue = self._state.queue
        if self._state.pool.learning:
            return True
        if len(queue) >= self._compute_capacity():
            return False
        own_queue = queue.find_class(waiting.request_class.name)
        if len(own_queue) < max(1, waiting.request_class.queue_limit):
            return True
        return self._has_lower_tier_waiting(waiting.tier)

    def _compute_capacity(self) -> int:
        return sum(
            max(1, each.queue_limit) for each in self._state.classes.values())

    def _find_victim(self, waiting: _Waiting) -> _Waiting | None:
        queue = self._state.queue
        lowest = queue.find_lowest_tier()
        if lowest is None or lowest < waiting.tier:
            return None
        if lowest > waiting.tier:
            return queue.find_victim(lowest)
        return self._find_victim_in_class(waiting) or self._find_victim_in_tier(
            waiting)

    def _find_victim_in_class(self, waiting: _Waiting) -> _Waiting | None:
        own_queue = self._state.queue.find_class(waiting.request_class.name)
        if not own_queue:
            return None
        longest, newest = own_queue.find_longest_backlog()
        backlog = own_queue.measure_backlog_with(waiting.ask.organisation,
                                                 waiting.weight)
        return newest if longest > backlog else None

    def _find_victim_in_tier(self, waiting: _Waiting) -> _Waiting | None:
        queue = self._state.queue
        own_queue = queue.find_class(waiting.request_class.name)
        if len(own_queue) >= max(1, waiting.request_class.queue_limit):
            return None
        candidates = [
            queue.find_class(name).newest
            for name in queue.list_backlogged_classes()
            if queue.get_tier(name) == waiting.tier and
            self._exceeds_queue_limit(name)
        ]
        return max(candidates, key=lambda each: each.sort_key, default=None)

    def _exceeds_queue_limit(self, name: str) -> bool:
        limit = self._state.find_class(name).queue_limit
        return len(self._state.queue.find_class(name)) > limit
