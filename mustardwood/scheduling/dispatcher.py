"""The granting of waiting requests."""

import datetime

from mustardwood import messages
from mustardwood.scheduling import addressed
from mustardwood.scheduling import cell_state
from mustardwood.scheduling import endpoint_choice
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import grant_order
from mustardwood.scheduling import running_request
from mustardwood.scheduling import short_reserve
from mustardwood.scheduling import waiting_request

_Waiting = waiting_request.WaitingRequest
_Record = endpoint_record.EndpointRecord


class Dispatcher:
    """Grants while endpoints are free."""

    def __init__(self, state: cell_state.CellState) -> None:
        self._state = state

    def dispatch(self,
                 now: datetime.timedelta) -> tuple[addressed.Addressed, ...]:
        """Returns the grants that can be made now."""
        state = self._state
        grants: list[addressed.Addressed] = []
        blocked: set[str] = set()
        aside: list[_Waiting] = []
        while state.queue:
            if not self._has_slot(now):
                break
            waiting = grant_order.pick_request(state, blocked, now)
            if waiting is None:
                break
            eligible = self._find_eligible(waiting, now)
            if eligible:
                grants.append(self._grant(waiting, eligible, now))
            elif not self._find_open(waiting.request_class.name, now):
                blocked.add(waiting.request_class.name)
            else:
                state.queue.remove(waiting)
                aside.append(waiting)
        for waiting in aside:
            state.queue.add(waiting)
        return tuple(grants)

    def _has_slot(self, now: datetime.timedelta) -> bool:
        state = self._state
        free = state.pool.count_free(now)
        if free != 1:
            return free > 0
        backlogged = state.queue.list_backlogged()
        if any(state.floor.is_due(name, now) for name in backlogged):
            return True
        return state.floor.find_held(now, backlogged) is None

    def _find_open(self, class_name: str,
                   now: datetime.timedelta) -> list[_Record]:
        state = self._state
        long = state.reserve.find_long(state.classes.values(), now)
        learning = state.pool.learning
        return [
            each for each in state.pool
            if each.count_free(now, learning=learning) and
            (class_name not in long or _has_unreserved(each, long, now))
        ]

    def _find_eligible(self, waiting: _Waiting,
                       now: datetime.timedelta) -> list[_Record]:
        ask = waiting.ask
        suspects = self._state.suspects
        if not suspects.may_start(ask):
            return []
        return [
            each for each in self._find_open(waiting.request_class.name, now)
            if each.name not in ask.excluded and suspects.may_join(ask, each)
        ]

    def _grant(self, waiting: _Waiting, eligible: list[_Record],
               now: datetime.timedelta) -> addressed.Addressed:
        state = self._state
        ask = waiting.ask
        name = waiting.request_class.name
        choice = endpoint_choice.choose_endpoint(eligible, ask.prefix)
        state.queue.remove(waiting)
        state.queue.find_class(name).charge(waiting)
        backlogged = state.queue.list_backlogged()
        state.floor.record_grant(name, now, backlogged)
        state.drain.record_grant(now, backlogged=bool(backlogged))
        waited = now - waiting.arrived_at
        reason = (f"Granted endpoint {choice.record.name} after "
                  f"{waited.total_seconds():.3f} s, since {choice.reason}.")
        grant = messages.Grant(ask.request_id, ask.attempt, ask.cell,
                               choice.record.name, waiting.tier,
                               state.estimate_queue_delay(now), reason)
        self._start(waiting, grant, now)
        state.log.record(ask.request_id, now, reason)
        state.observer.record_grant(name, waited)
        return addressed.Addressed(waiting.sender, grant)

    def _start(self, waiting: _Waiting, grant: messages.Grant,
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
            granted_at=now,
            fingerprint=ask.fingerprint,
            suspect=ask.suspect,
            grant=grant)
        self._state.pool.add(running, now)
        self._state.suspects.start(running)


def _has_unreserved(record: _Record, long: frozenset[str],
                    now: datetime.timedelta) -> bool:
    limit = record.find_limit(now)
    bound = limit - short_reserve.count_reserved(limit)
    return record.count_classes(long) < bound
