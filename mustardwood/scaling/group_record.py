"""What the planner remembers of the orders of one group of endpoints."""

import dataclasses
import datetime

_SETTLING_MARGIN = datetime.timedelta(seconds=4)
"""Time beyond the boot time for which registrations may differ from an order.

A call without a response may be executed seconds later, and registrations are
delivered with some delay.
"""
_RECLAIM_TIME = datetime.timedelta(seconds=10)
"""Time after a notice in which a zone has no preemptible endpoints to give."""
_UNAVAILABLE_TIME = datetime.timedelta(seconds=4)
"""Time for which nothing is ordered where no endpoint was available."""
_MAX_DOUBLINGS = 2
"""Number of refusals in a row with each of which that time doubles."""


@dataclasses.dataclass(frozen=True)
class _Order:
    count: int
    sent_at: datetime.timedelta


class GroupRecord:
    """Remembers the last order of a group and compares it with registrations.

    An order stands until the registrations have differed from it for longer
    than endpoints need to start. It is then forgotten, so that only what is
    registered counts and the plan is ordered again. This covers orders that
    were lost, were executed late or were replaced by those of others, and
    endpoints that crashed.

    Attributes:
        ready_count: Number of registered endpoints that accept requests.
        draining_count: Number of registered endpoints that will leave.
        is_in_flight: Whether a call for the group has not ended.
    """

    def __init__(self, is_preemptible: bool) -> None:
        self._is_preemptible = is_preemptible
        self._order: _Order | None = None
        self._previous_order: _Order | None = None
        self._differs_since: datetime.timedelta | None = None
        self._expected_count: int | None = None
        self._unavailable_until = datetime.timedelta()
        self._refusals = 0
        self._reclaimed_until = datetime.timedelta()
        self.ready_count = 0
        self.draining_count = 0
        self.is_in_flight = False

    @property
    def effective_count(self) -> int:
        """Number of endpoints once the last order has taken effect."""
        return (self.ready_count if self._order is None else self._order.count)

    def update(self, now: datetime.timedelta, ready_count: int,
               draining_count: int, boot_time: datetime.timedelta) -> bool:
        """Compares the registrations with the last order.

        Args:
            now: Monotonic time.
            ready_count: Number of registered endpoints that accept requests.
            draining_count: Number of those that will leave.
            boot_time: Time from an order until the endpoint is registered.

        Returns:
            Whether the availability zone has just reclaimed endpoints.
        """
        self.ready_count, self.draining_count = ready_count, draining_count
        # In a rollout, few endpoints drain at a time.
        is_reclaimed = (self._is_preemptible and
                        draining_count > ready_count and
                        (self._expected_count is None or
                         ready_count < self._expected_count))
        if is_reclaimed:
            self._reclaimed_until = now + _RECLAIM_TIME
            self.forget_order()
        self._expected_count = (ready_count if self._order is None else min(
            ready_count, self._order.count))
        if self._order is None or self._order.count == ready_count:
            self._differs_since = None
            if self._order is not None:
                self._refusals = 0
        elif self._differs_since is None:
            self._differs_since = now
        elif (not self.is_in_flight and
              now - max(self._differs_since, self._order.sent_at)
              > boot_time + _SETTLING_MARGIN):
            self.forget_order()
        return is_reclaimed

    def record_sent(self, now: datetime.timedelta, count: int) -> None:
        """Records that an order was sent."""
        self._previous_order = self._order
        self._order = _Order(count, now)
        self._differs_since = None
        self.is_in_flight = True
        if self._expected_count is not None:
            self._expected_count = min(self._expected_count, count)

    def forget_order(self) -> None:
        """Forgets the last order, which was not executed or is out of date."""
        self._order = self._previous_order = None
        self._differs_since = None

    def restore_order(self) -> None:
        """Forgets the last order, which was not executed; the previous stands.

        Its endpoints may be starting. Without it they would not count, and
        others would be ordered in their place.
        """
        self._order, self._previous_order = self._previous_order, None
        self._differs_since = None

    def record_unavailable(self, now: datetime.timedelta) -> None:
        """Records that the zone had no endpoint to give."""
        self.forget_order()
        self._unavailable_until = (
            now + _UNAVAILABLE_TIME * 2**min(self._refusals, _MAX_DOUBLINGS))
        self._refusals += 1

    def is_reclaimed(self, now: datetime.timedelta) -> bool:
        """Returns whether the zone has reclaimed endpoints a short time ago."""
        return now < self._reclaimed_until

    def is_unavailable(self, now: datetime.timedelta) -> bool:
        """Returns whether endpoints are probably not to be had."""
        return now < max(self._unavailable_until, self._reclaimed_until)

    def reset(self) -> None:
        """Forgets the orders of an earlier term."""
        self.forget_order()
        self._expected_count = None
        self.is_in_flight = False
