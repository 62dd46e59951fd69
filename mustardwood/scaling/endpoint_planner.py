"""Decides which endpoints to order, for all services."""

import collections.abc
import datetime

from mustardwood.scaling import capacity_plan
from mustardwood.scaling import endpoint_group
from mustardwood.scaling import group_record
from mustardwood.scaling import planned_order
from mustardwood.scaling import service_planner
from mustardwood.scaling import service_state


class EndpointPlanner:
    """Decides which endpoints to order, for all services with parameters.

    All VMs observe the demand, so that the holder of the next term knows it.
    What was ordered is known to the present holder only.
    """

    def __init__(
            self, has_open_streams: collections.abc.Callable[[str, str],
                                                             bool]) -> None:
        """Creates a planner.

        Args:
            has_open_streams: Returns whether a service and software version may
                have open streams, so that one endpoint of it must remain.
        """
        self._has_open_streams = has_open_streams
        self._services: dict[str, service_planner.ServicePlanner] = {}
        self._term_started_at: datetime.timedelta | None = None

    def observe(
        self, now: datetime.timedelta,
        states: collections.abc.Iterable[service_state.ServiceState]
    ) -> list[endpoint_group.EndpointGroup]:
        """Takes in the states of all services.

        Args:
            now: Monotonic time.
            states: States of the services that have parameters.

        Returns:
            Groups whose availability zone has just reclaimed endpoints.
        """
        reclaimed = []
        names = set()
        for state in states:
            names.add(state.service)
            known = self._services.get(state.service)
            if known is None:
                known = service_planner.ServicePlanner(state.service,
                                                       self._has_open_streams)
                self._services[state.service] = known
                if self._term_started_at is not None:
                    known.start_term(now)
            reclaimed += known.observe(now, state)
        for name in self._services.keys() - names:
            del self._services[name]
        return reclaimed

    def start_term(self, now: datetime.timedelta) -> None:
        """Forgets earlier orders; what is registered counts."""
        self._term_started_at = now
        for each in self._services.values():
            each.start_term(now)

    def plan_orders(self) -> list[planned_order.PlannedOrder]:
        """Returns the orders to send now.

        Those of a service are together, the most urgent first.
        """
        return [
            order for _, each in sorted(self._services.items())
            for order in each.plan_orders()
        ]

    def record_sent(self, now: datetime.timedelta,
                    order: planned_order.PlannedOrder) -> None:
        """Records that an order was sent."""
        known = self._services.get(order.group.service)
        if known is not None:
            known.record_sent(now, order)

    def record_end(self, group: endpoint_group.EndpointGroup,
                   may_be_executed: bool) -> None:
        """Records that the call of an order has ended.

        Args:
            group: The endpoints that were ordered.
            may_be_executed: Whether the order was or may yet be executed.
        """
        record = self._find_record(group)
        if record is not None:
            record.is_in_flight = False
            if not may_be_executed:
                record.restore_order()

    def record_unavailable(self, now: datetime.timedelta,
                           group: endpoint_group.EndpointGroup) -> None:
        """Records that an availability zone had no endpoint to give."""
        record = self._find_record(group)
        if record is not None:
            record.is_in_flight = False
            record.record_unavailable(now)

    def list_plans(self) -> dict[str, capacity_plan.CapacityPlan]:
        """Returns the present plans by service."""
        return {
            name: each.plan
            for name, each in self._services.items()
            if each.plan is not None
        }

    def list_records(
            self
    ) -> dict[endpoint_group.EndpointGroup, group_record.GroupRecord]:
        """Returns what is remembered of each group of endpoints."""
        return {
            group: record for each in self._services.values()
            for group, record in each.records.items()
        }

    def _find_record(
            self, group: endpoint_group.EndpointGroup
    ) -> group_record.GroupRecord | None:
        known = self._services.get(group.service)
        return None if known is None else known.records.get(group)
