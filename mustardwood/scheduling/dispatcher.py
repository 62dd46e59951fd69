"""Grants of endpoints to waiting requests."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import endpoint_choice
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import grant_order
from mustardwood.scheduling import running_request
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest
_Record = endpoint_record.EndpointRecord

_MAX_RESERVATION_WAIT_FRACTION = 0.5
"""Share of its deadline for which a class leaves reserved slots free."""


class Dispatcher:
    """Grants free endpoints to waiting requests in scheduling order."""

    def __init__(self, state: cell_state.CellState) -> None:
        self._state = state

    def dispatch(
            self,
            now: datetime.timedelta) -> tuple[messages.AddressedMessage, ...]:
        """Grants endpoints while requests can start; returns the grants."""
        state = self._state
        grants: list[messages.AddressedMessage] = []
        blocked: set[str] = set()
        deferred: list[_Waiting] = []
        while state.queue:
            if not self._has_grantable_slot(now):
                break
            waiting = grant_order.pick_request(state, blocked, now)
            if waiting is None:
                break
            eligible = self._find_eligible_endpoints(waiting, now)
            if eligible:
                grants.append(self._grant(waiting, eligible, now))
            elif not self._find_free_endpoints(waiting.request_class.name, now):
                blocked.add(waiting.request_class.name)
            else:
                state.queue.remove(waiting)
                deferred.append(waiting)
        for waiting in deferred:
            state.queue.add(waiting)
        return tuple(grants)

    def _has_grantable_slot(self, now: datetime.timedelta) -> bool:
        state = self._state
        free = state.pool.count_free_slots(now)
        if free != 1:
            return free > 0
        backlogged = state.queue.list_backlogged_classes()
        if any(
                state.starvation_prevention.is_due(name, now)
                for name in backlogged):
            return True
        return state.starvation_prevention.find_class_to_hold_slot_for(
            now, backlogged) is None

    def _find_free_endpoints(self, class_name: str,
                             now: datetime.timedelta) -> list[_Record]:
        state = self._state
        if not self._may_take_slot(class_name, now):
            return []
        learning = state.pool.learning
        return [
            each for each in state.pool
            if each.count_free_slots(now, learning=learning)
        ]

    def _may_take_slot(self, class_name: str, now: datetime.timedelta) -> bool:
        state = self._state
        if state.starvation_prevention.is_due(class_name, now):
            return True
        if self._has_waited_too_long(class_name, now):
            return True
        return state.slot_reservation.may_take_slot(
            state.find_class(class_name), state.classes.values(),
            state.pool.running_by_class, state.pool.count_free_slots(now),
            state.pool.count_slots(now), now)

    def _has_waited_too_long(self, class_name: str,
                             now: datetime.timedelta) -> bool:
        """Returns whether a class may now take reserved slots.

        Without this limit, requests of lower tiers that need no more than a
        short time could overtake the class until its deadline.
        """
        oldest = self._state.queue.find_class(class_name).oldest
        bound = oldest.request_class.deadline * _MAX_RESERVATION_WAIT_FRACTION
        return now - oldest.arrived_at >= bound

    def _find_eligible_endpoints(self, waiting: _Waiting,
                                 now: datetime.timedelta) -> list[_Record]:
        ask = waiting.ask
        suspects = self._state.suspects
        if not suspects.may_start(ask):
            return []
        return [
            each for each in self._find_free_endpoints(
                waiting.request_class.name, now)
            if each.name not in ask.excluded and
            suspects.may_share_endpoint(ask, each)
        ]

    def _grant(self, waiting: _Waiting, eligible: list[_Record],
               now: datetime.timedelta) -> messages.AddressedMessage:
        state = self._state
        ask = waiting.ask
        name = waiting.request_class.name
        choice = endpoint_choice.choose_endpoint(eligible, waiting,
                                                 state.pool.inter_token_model)
        state.queue.remove(waiting)
        state.queue.find_class(name).charge(waiting)
        backlogged = state.queue.list_backlogged_classes()
        state.starvation_prevention.record_grant(name, now, backlogged)
        state.drain_rate.record_grant(now, backlogged=bool(backlogged))
        waited = now - waiting.arrived_at
        reason = (f"Granted endpoint {choice.record.name} after "
                  f"{waited.total_seconds():.3f} s, since {choice.reason}.")
        grant = messages.Grant(ask.request_id, ask.attempt, ask.cell,
                               choice.record.name, waiting.tier,
                               state.estimate_queue_delay(now), reason)
        self._record_running(waiting, grant, now)
        state.log.record(ask.request_id, now, reason)
        state.observer.record_grant(name, waited)
        return messages.AddressedMessage(waiting.sender, grant)

    def _record_running(self, waiting: _Waiting, grant: messages.Grant,
                        now: datetime.timedelta) -> None:
        ask = waiting.ask
        running = running_request.RunningRequest(
            key=waiting.key,
            sender=waiting.sender,
            endpoint=grant.endpoint,
            class_name=waiting.request_class.name,
            organisation=ask.organisation,
            weight=waiting.weight,
            output_tokens=waiting.output_tokens,
            prompt_tokens=ask.prompt_tokens,
            granted_at=now,
            fingerprint=ask.fingerprint,
            suspect=ask.suspect,
            grant=grant)
        self._state.pool.add(running, now)
        self._state.suspects.add_running(running)
