"""Decides which endpoints of one service to order."""

import collections
import collections.abc
import dataclasses
import datetime
import math
import typing

from mustardwood.scaling import capacity_plan
from mustardwood.scaling import demand_forecast
from mustardwood.scaling import demand_history
from mustardwood.scaling import endpoint_group
from mustardwood.scaling import group_record
from mustardwood.scaling import planned_order
from mustardwood.scaling import scaling_parameters
from mustardwood.scaling import service_state

_HOLD_TIME = datetime.timedelta(seconds=10)
"""Time for which a surplus must have lasted.

The forecast, from which it follows, covers two waves itself.
"""
_EXCHANGE_HOLD_TIME = datetime.timedelta(seconds=5)
"""The same for endpoints that preemptible ones have taken the place of.

One of them costs as much as several preemptible ones.
"""
_MIN_HISTORY = datetime.timedelta(seconds=8)
"""Time for which the demand must be known before endpoints are removed."""
_TAKEOVER_MARGIN = datetime.timedelta(seconds=4)
"""Time beyond the boot time in which a new holder removes nothing.

Endpoints that its predecessor ordered are then registered.
"""
_DEAD_BAND = 0.2
"""Smallest change of a group that is ordered, as a share of its endpoints.

Each order is a priced call, and each registration ends the watches of all VMs.
"""
_BASE_DEAD_BAND = 0.25
"""The same for additions of endpoints that are not preemptible."""
_SPARE_BAND = 1.25
"""Preemptible endpoints are removed above this multiple of those wanted."""
_SPARE_TARGET = 1.1
"""Multiple of the wanted endpoints that is left then."""
_MIN_REMOVED = 3
"""Minimum number of endpoints of a larger surplus that are removed at once."""
_MAX_STEP = 0.15
"""Maximum share of a service's endpoints that are removed at once."""
_MAX_EXCHANGE_STEP = 0.18
"""The same for endpoints that preemptible ones have taken the place of."""
_MIN_EXCHANGE_STEP = 9
"""Number of these that may be removed at once from a service of any size.

With few endpoints, the share alone would leave too few for each zone.
"""
_STEP_INTERVAL = datetime.timedelta(seconds=4)
"""Minimum interval of removals; requests move to the other endpoints."""
_MIN_ORDER_INTERVAL = datetime.timedelta(seconds=2)
"""Minimum interval of additions to a group."""
_RISE_MARGIN = 1.25
"""Multiple of a group's planned preemptible endpoints that is ordered at first.

The observed demand rises in the first seconds, and single steps would cost a
call and a registration each.
"""

_Orders = list[planned_order.PlannedOrder]
_Record = group_record.GroupRecord


@dataclasses.dataclass(frozen=True)
class _View:
    """What orders are decided from."""

    now: datetime.timedelta
    state: service_state.ServiceState
    forecast: demand_forecast.DemandForecast
    plan: capacity_plan.CapacityPlan
    zones: tuple[str, ...]

    @property
    def parameters(self) -> scaling_parameters.ScalingParameters:
        """Limits and prices of the service."""
        return self.state.parameters

    @property
    def is_pinned(self) -> bool:
        """Whether the operator has set the number of endpoints."""
        return self.state.pinned_count is not None


class ServicePlanner:
    """Decides which endpoints of one service to order.

    Load pattern: bursts are over before new endpoints have started, so the
    endpoints for them must be there before; preemptible ones are cheap enough
    for that. The planner adds them at once and removes endpoints slowly.

    Failure: an availability zone reclaims all of its preemptible endpoints and
    has none to give for some time. The plan then spreads them over the others.
    """

    def __init__(
            self, service: str,
            has_open_streams: collections.abc.Callable[[str, str],
                                                       bool]) -> None:
        """Creates a planner.

        Args:
            service: Name of the service.
            has_open_streams: Returns whether a service and software version may
                have open streams.
        """
        self._service = service
        self._has_open_streams = has_open_streams
        self._history = demand_history.DemandHistory()
        self._records: dict[endpoint_group.EndpointGroup, _Record] = {}
        self._sent_at: dict[endpoint_group.EndpointGroup,
                            datetime.timedelta] = {}
        self._past_plans: collections.deque[
            tuple[datetime.timedelta,
                  capacity_plan.CapacityPlan]] = collections.deque()
        self._reduced_at: datetime.timedelta | None = None
        self._term_started_at: datetime.timedelta | None = None
        self._view: _View | None = None

    @property
    def plan(self) -> capacity_plan.CapacityPlan | None:
        """The plan from the last complete state; None before."""
        return None if self._view is None else self._view.plan

    @property
    def records(
            self
    ) -> collections.abc.Mapping[endpoint_group.EndpointGroup, _Record]:
        """What is remembered of each group of endpoints."""
        return self._records

    def observe(
        self, now: datetime.timedelta, state: service_state.ServiceState
    ) -> list[endpoint_group.EndpointGroup]:
        """Takes in a state; VMs that hold no term do this, too.

        Args:
            now: Monotonic time.
            state: What is known of the service.

        Returns:
            Groups whose availability zone has just reclaimed endpoints.
        """
        if not state.is_complete:
            self._view = None
            return []
        self._history.record(now, state.demands, state.busy_count)
        zones = state.list_zones()
        reclaimed = self._update_records(now, state, zones)
        forecast = self._history.make_forecast(now, self._count_ready())
        plan = capacity_plan.CapacityPlan.from_forecast(
            state.parameters, zones, forecast, {
                (group.zone, group.is_preemptible): each.ready_count
                for group, each in self._records.items()
                if each.is_unavailable(now)
            }, state.pinned_count)
        self._past_plans.append((now, plan))
        while now - self._past_plans[0][0] > _HOLD_TIME:
            self._past_plans.popleft()
        self._view = _View(now, state, forecast, plan, zones)
        return reclaimed

    def start_term(self, now: datetime.timedelta) -> None:
        """Forgets the orders of an earlier term of this VM."""
        self._term_started_at = now
        self._reduced_at = None
        self._sent_at.clear()
        for each in self._records.values():
            each.reset()

    def plan_orders(self) -> _Orders:
        """Returns the orders to send now, the most urgent first.

        Nothing is ordered while registrations or demands are not complete,
        since an absolute number might then remove endpoints.
        """
        view = self._view
        if view is None or self._term_started_at is None:
            return []
        orders = self._plan_additions(view)
        if not orders and self._may_remove(view):
            orders = self._plan_removals(view)
        return orders

    def record_sent(self, now: datetime.timedelta,
                    order: planned_order.PlannedOrder) -> None:
        """Records that an order was sent."""
        record = self._records[order.group]
        if order.count < record.effective_count:
            self._reduced_at = now
        record.record_sent(now, order.count)
        self._sent_at[order.group] = now

    def _update_records(
            self, now: datetime.timedelta, state: service_state.ServiceState,
            zones: tuple[str, ...]) -> list[endpoint_group.EndpointGroup]:
        counts = collections.Counter(
            (each.zone, each.is_preemptible, each.is_draining)
            for each in state.endpoints)
        reclaimed = []
        for zone in zones:
            for is_preemptible in (False, True):
                group = endpoint_group.EndpointGroup(self._service, zone,
                                                     is_preemptible)
                record = self._records.setdefault(group,
                                                  _Record(is_preemptible))
                was_reclaimed = record.is_reclaimed(now)
                if (record.update(now, counts[zone, is_preemptible, False],
                                  counts[zone, is_preemptible,
                                         True], state.parameters.boot_time) and
                        not was_reclaimed):
                    reclaimed.append(group)
        for group in [each for each in self._records if each.zone not in zones]:
            del self._records[group]
        return reclaimed

    def _plan_additions(self, view: _View) -> _Orders:
        missing = view.plan.needed - sum(
            each.effective_count for each in self._records.values())
        orders = []
        for group, record in self._list_records(view):
            other = self._find_record(group.zone, not group.is_preemptible)
            room = view.parameters.max_count - max(other.effective_count,
                                                   other.ready_count)
            planned = view.plan.counts[group.zone, group.is_preemptible]
            count = min(planned, room)
            added = count - record.effective_count
            if (added <= 0 or record.is_in_flight or
                    record.is_unavailable(view.now)):
                continue
            below_minimum = (record.effective_count + other.effective_count
                             < max(1, view.parameters.min_count))
            if not (view.is_pinned or missing > 0 or below_minimum):
                band = (_DEAD_BAND if group.is_preemptible else _BASE_DEAD_BAND)
                if added < band * planned:
                    continue
            last = self._sent_at.get(group)
            if last is not None and view.now - last < _MIN_ORDER_INTERVAL:
                continue
            if (group.is_preemptible and not view.is_pinned and
                    self._history.find_span(view.now) < _MIN_HISTORY):
                count = min(room, math.ceil(planned * _RISE_MARGIN))
            orders.append(
                self._make_order(
                    view, group, count,
                    self._find_reason(view, below_minimum, missing > 0)))
        return sorted(orders,
                      key=lambda each:
                      (each.reason is not planned_order.OrderReason.MINIMUM,
                       self._records[each.group].effective_count - each.count))

    def _find_reason(self, view: _View, below_minimum: bool,
                     is_missing: bool) -> planned_order.OrderReason:
        if view.is_pinned:
            return planned_order.OrderReason.PINNED
        if below_minimum:
            return planned_order.OrderReason.MINIMUM
        if any(each.is_reclaimed(view.now) for each in self._records.values()):
            return planned_order.OrderReason.RECLAIMED
        if is_missing:
            return planned_order.OrderReason.DEMAND
        return planned_order.OrderReason.RESERVE

    def _may_remove(self, view: _View) -> bool:
        now = view.now
        assert self._term_started_at is not None
        if (now - self._term_started_at
                < view.parameters.boot_time + _TAKEOVER_MARGIN):
            return False
        if (self._reduced_at is not None and
                now - self._reduced_at < _STEP_INTERVAL):
            return False
        if any(each.is_reclaimed(now) for each in self._records.values()):
            return False
        return (view.is_pinned or self._history.find_span(now) >= _MIN_HISTORY)

    def _plan_removals(self, view: _View) -> _Orders:
        counts = {
            group: min(record.ready_count, record.effective_count)
            for group, record in self._list_records(view)
        }
        total = sum(counts.values())
        kept = self._find_kept(view)
        left = dict(counts)
        self._remove(view, left, False, self._find_exchange_budget(view, total))
        budget = max(0, min(total - kept, math.ceil(_MAX_STEP * total)))
        if view.is_pinned:
            self._remove(view, left, True, budget - total + sum(left.values()))
        elif left == counts and total > _SPARE_BAND * kept + 1:
            self._remove(view, left, True,
                         min(budget, total - math.ceil(_SPARE_TARGET * kept)))
        reason = (planned_order.OrderReason.PINNED
                  if view.is_pinned else planned_order.OrderReason.SURPLUS)
        return [
            self._make_order(view, group, left[group], reason)
            for group in sorted(left)
            if self._is_worth_removing(view, group, counts[group], left[group])
            and not self._records[group].is_in_flight
        ]

    def _find_exchange_budget(self, view: _View, total: int) -> int:
        """Returns how many endpoints that are not preemptible may be removed.

        Args:
            view: What the decision is made from.
            total: Number of endpoints that accept requests.
        """
        if view.is_pinned:
            return max(
                0, min(total - view.plan.total, math.ceil(_MAX_STEP * total)))
        recent = self._list_plans(view, _EXCHANGE_HOLD_TIME)
        kept = max(each.needed for each in self._list_plans(view, _HOLD_TIME))
        if self._lacks_room(view):
            # The endpoints that are too dear take the room of others.
            kept = max(each.needed for each in recent)
        else:
            # Preemptible endpoints within the dead band are never ordered, so
            # others must not be kept in their place.
            kept = max(
                kept,
                math.ceil(
                    (1.0 - _DEAD_BAND) * max(each.total for each in recent)))
        return max(
            0,
            min(total - kept,
                max(_MIN_EXCHANGE_STEP, math.ceil(_MAX_EXCHANGE_STEP * total))))

    def _remove(self, view: _View, left: dict[endpoint_group.EndpointGroup,
                                              int], is_preemptible: bool,
                budget: int) -> None:
        """Removes endpoints of one kind, each where the most are too many.

        Args:
            view: What the decision is made from.
            left: Number of endpoints by group, which is reduced.
            is_preemptible: The kind.
            budget: Maximum number of endpoints to remove.
        """
        wanted = {
            group: self._find_kept_group(view, group)
            for group in left
            if group.is_preemptible == is_preemptible
        }
        # Small removals in all zones would not be worth their calls.
        chosen = sorted(
            wanted,
            key=lambda each:
            (left[each] - wanted[each], view.parameters.find_price(each.zone)),
            reverse=True)[:math.ceil(budget / _MIN_REMOVED)]
        blocked = wanted.keys() - set(chosen)
        for _ in range(budget):
            candidates = [
                group for group, kept in wanted.items()
                if left[group] > kept and group not in blocked
            ]
            if not candidates:
                return
            group = max(candidates,
                        key=lambda each:
                        (left[each] - wanted[each],
                         view.parameters.find_price(each.zone)))
            left[group] -= 1
            if not self._keeps_versions(view, left):
                left[group] += 1
                blocked.add(group)

    def _lacks_room(self, view: _View) -> bool:
        """Returns whether a zone's limit keeps preemptible endpoints out."""
        return any(
            group.is_preemptible and record.effective_count < view.plan.counts[
                group.zone, True] and not record.is_unavailable(view.now) and
            self._find_record(group.zone, False).ready_count +
            record.effective_count >= view.parameters.max_count
            for group, record in self._list_records(view))

    def _find_kept(self, view: _View) -> int:
        """Returns the number of endpoints that were wanted for some time."""
        if view.is_pinned:
            return view.plan.total
        return max(each.total for each in self._list_plans(view, _HOLD_TIME))

    def _find_kept_group(self, view: _View,
                         group: endpoint_group.EndpointGroup) -> int:
        place = group.zone, group.is_preemptible
        if view.is_pinned or group.is_preemptible:
            # Preemptible endpoints may move between the zones.
            return view.plan.counts[place]
        hold_time = (_EXCHANGE_HOLD_TIME
                     if self._has_preemptible(view) else _HOLD_TIME)
        return max(
            each.counts.get(place, 0)
            for each in self._list_plans(view, hold_time))

    def _has_preemptible(self, view: _View) -> bool:
        return any(
            kind and count for (_, kind), count in view.plan.counts.items())

    def _list_plans(
            self, view: _View,
            age: datetime.timedelta) -> list[capacity_plan.CapacityPlan]:
        """Returns the plans up to an age."""
        return [
            each for time, each in self._past_plans if view.now - time <= age
        ]

    def _is_worth_removing(self, view: _View,
                           group: endpoint_group.EndpointGroup, count: int,
                           left: int) -> bool:
        if view.is_pinned:
            return left < count
        surplus = count - self._find_kept_group(view, group)
        return (surplus >= _DEAD_BAND * count and
                count - left >= max(1, min(surplus, _MIN_REMOVED)))

    def _keeps_versions(
        self, view: _View,
        left: collections.abc.Mapping[endpoint_group.EndpointGroup,
                                      int]) -> bool:
        """Returns whether each version with open streams keeps an endpoint.

        Which endpoints of a group the platform removes is not known, so the
        worst case counts.

        Args:
            view: What the decision is made from.
            left: Number of endpoints that would be left by group.
        """
        by_version: dict[str, collections.Counter[tuple[
            str, bool]]] = collections.defaultdict(collections.Counter)
        for each in view.state.endpoints:
            if not each.is_draining:
                by_version[each.version][each.zone, each.is_preemptible] += 1
        for version, counts in by_version.items():
            if not self._has_open_streams(self._service, version):
                continue
            removed = 0
            for place, count in counts.items():
                group = endpoint_group.EndpointGroup(self._service, *place)
                if group in left:
                    removed += min(
                        count, self._records[group].ready_count - left[group])
            if removed >= sum(counts.values()):
                return False
        return True

    def _list_records(
        self, view: _View
    ) -> collections.abc.Iterator[tuple[endpoint_group.EndpointGroup, _Record]]:
        """Returns the groups in the order of the prices of their zones."""
        for zone in view.zones:
            for is_preemptible in (True, False):
                group = endpoint_group.EndpointGroup(self._service, zone,
                                                     is_preemptible)
                yield group, self._records[group]

    def _find_record(self, zone: str, is_preemptible: bool) -> _Record:
        return self._records[endpoint_group.EndpointGroup(
            self._service, zone, is_preemptible)]

    def _count_ready(self) -> int:
        return sum(each.ready_count for each in self._records.values())

    def _make_order(
            self, view: _View, group: endpoint_group.EndpointGroup, count: int,
            reason: planned_order.OrderReason) -> planned_order.PlannedOrder:
        record = self._records[group]
        forecast, plan = view.forecast, view.plan
        inputs: dict[str, typing.Any] = {}
        inputs["ready"] = record.ready_count
        inputs["draining"] = record.draining_count
        inputs["ordered_before"] = record.effective_count
        inputs["ready_in_all"] = self._count_ready()
        inputs["wanted_in_all"] = plan.wanted
        inputs["needed_in_all"] = plan.needed
        inputs["busy"] = round(view.state.busy_count, 2)
        inputs["certain_demand"] = round(forecast.certain, 2)
        inputs["steady_demand"] = round(forecast.steady, 2)
        inputs["highest_demand"] = round(forecast.highest, 2)
        inputs["urgent_demand"] = round(forecast.urgent, 2)
        inputs["unavailable"] = sorted(
            _describe_group(each)
            for each, known in self._records.items()
            if known.is_unavailable(view.now))
        return planned_order.PlannedOrder(group, count, reason, inputs)


def _describe_group(group: endpoint_group.EndpointGroup) -> str:
    return group.zone + (" preemptible" if group.is_preemptible else "")
