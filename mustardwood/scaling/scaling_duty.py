"""The duty that orders endpoints while this VM holds the term."""

import collections
import collections.abc
import datetime
import typing

from mustardwood import dispatch
from mustardwood import leadership
from mustardwood import timing
from mustardwood.scaling import endpoint_group
from mustardwood.scaling import endpoint_planner
from mustardwood.scaling import planned_order
from mustardwood.scaling import service_state

_INTERVAL = datetime.timedelta(milliseconds=500)
"""Interval of plans."""
_MAX_ORDERS_PER_RUN = 3
"""Maximum number of orders in one run: one for each of three zones."""
_ORDERS_PER_RUN = 1.5
"""Mean number of orders in one run, which is three per second."""
_MAX_SAVED_ORDERS = 6.0
"""Orders that may be sent at once after a time without any."""
_MIN_PAUSE = datetime.timedelta(seconds=1)
_MAX_PAUSE = datetime.timedelta(seconds=8)
"""Bounds of the pause after a call that failed; it doubles each time."""
_TOKEN_REFUSED = "token_refused"
"""Reason for the end of a term after a refused token."""

_Outcome = leadership.CallOutcome


class ScalingDuty:
    """Plans and orders endpoints on a timer.

    All VMs observe the demand; only the holder of a term sends orders.

    Failures: a call that got no response may be executed later, so its order
    stands until the registrations contradict it. Where no endpoint is
    available, the planner orders elsewhere for some seconds. After other
    failures and refusals for the rate of calls, all orders pause.

    Attributes:
        results: Number of ended orders by outcome.
    """

    def __init__(self,
                 clock: timing.Clock,
                 scheduler: dispatch.Scheduler,
                 leaders: leadership.Leadership,
                 calls: leadership.DutyCalls,
                 list_states: collections.abc.Callable[
                     [], collections.abc.Iterable[service_state.ServiceState]],
                 planner: endpoint_planner.EndpointPlanner,
                 journal: dispatch.Journal,
                 is_enabled: bool = True) -> None:
        """Creates the duty; `start` starts it.

        Args:
            clock: Source of the monotonic time.
            scheduler: Schedules the runs.
            leaders: Tells whether this VM holds the term.
            calls: Sends the orders.
            list_states: Returns the states of the services.
            planner: Decides what to order.
            journal: Logs each order and its result.
            is_enabled: Whether orders are sent; otherwise services are only
                observed.
        """
        self._clock = clock
        self._scheduler = scheduler
        self._leadership = leaders
        self._calls = calls
        self._list_states = list_states
        self._planner = planner
        self._journal = journal
        self._is_enabled = is_enabled
        self._token: int | None = None
        self._saved_orders = _MAX_SAVED_ORDERS
        self._paused_until = datetime.timedelta()
        self._failures = 0
        self._in_flight = 0
        self.results: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Starts to plan."""
        self._scheduler.call_later(_INTERVAL, self._run)

    def _run(self) -> None:
        try:
            self.run_once()
        finally:
            self._scheduler.call_later(_INTERVAL, self._run)

    def run_once(self) -> None:
        """Observes the services and, with a term, sends orders."""
        now = self._clock.monotonic()
        reclaimed = self._planner.observe(now, self._list_states())
        term = self._leadership.find_term()
        if term is None:
            return
        if term.token != self._token:
            self._token = term.token
            self._failures = 0
            self._planner.start_term(now)
        for group in reclaimed:
            self._journal.write("endpoints_reclaimed",
                                service=group.service,
                                zone=group.zone)
        self._saved_orders = min(_MAX_SAVED_ORDERS,
                                 self._saved_orders + _ORDERS_PER_RUN)
        if now < self._paused_until or not self._is_enabled:
            return
        # After a failure, one call at a time shows whether it has passed.
        limit = _MAX_ORDERS_PER_RUN
        if self._failures:
            limit = 0 if self._in_flight else 1
        for order in self._planner.plan_orders()[:limit]:
            if self._saved_orders < 1.0:
                return
            # The term may have ended in the meantime.
            current = self._leadership.find_term()
            if current is None or current.token != term.token:
                return
            self._saved_orders -= 1.0
            self._send(current, order)

    def _send(self, term: leadership.Term,
              order: planned_order.PlannedOrder) -> None:
        group = order.group
        self._planner.record_sent(self._clock.monotonic(), order)
        self._journal.write("endpoint_order",
                            **_describe(group, order.count),
                            reason=order.reason.value,
                            **order.inputs)
        self._in_flight += 1
        self._calls.order_endpoints(
            term,
            leadership.EndpointOrder(group.service, group.zone, order.count,
                                     group.is_preemptible),
            lambda result: self._handle_result(term.token, order, result))

    def _handle_result(self, token: int, order: planned_order.PlannedOrder,
                       result: leadership.CallResult) -> None:
        self._in_flight -= 1
        outcome = result.outcome
        self.results[outcome.value] += 1
        if outcome is not _Outcome.ACCEPTED:
            self._journal.write("endpoint_order_failed",
                                **_describe(order.group, order.count),
                                outcome=outcome.value)
        if token != self._token:
            # What was ordered in an earlier term is not known in this one.
            return
        if outcome is _Outcome.TOKEN_REFUSED:
            self._token = None
            self._leadership.end_term(_TOKEN_REFUSED)
            return
        now = self._clock.monotonic()
        if outcome is _Outcome.NOT_AVAILABLE:
            self._planner.record_unavailable(now, order.group)
        else:
            self._planner.record_end(
                order.group, outcome
                in (_Outcome.ACCEPTED, _Outcome.NO_RESPONSE))
        if outcome in (_Outcome.ACCEPTED, _Outcome.NOT_AVAILABLE):
            self._failures = 0
            return
        self._failures += 1
        pause = min(_MAX_PAUSE, _MIN_PAUSE * 2**min(self._failures - 1, 8))
        if result.retry_after is not None:
            pause = max(pause, result.retry_after)
        self._paused_until = max(self._paused_until, now + pause)


def _describe(group: endpoint_group.EndpointGroup,
              count: int) -> dict[str, typing.Any]:
    return {
        "service": group.service,
        "zone": group.zone,
        "preemptible": group.is_preemptible,
        "count": count
    }
