"""Reservation of free slots for more urgent classes."""

import collections.abc
import datetime
import math

from mustardwood import configuration

_RATE_TIME_CONSTANT_SECONDS = 10.0
"""Time constant of the exponentially decaying arrival rate."""
_SMOOTHING = 0.1
"""Weight of a new sample in the mean service time."""
_MIN_RECENT_ARRIVALS = 0.1
"""Decayed number of arrivals from which on a class counts as in demand."""
_MARGIN_STANDARD_DEVIATIONS = 3.0
"""Margin above the mean demand, in standard deviations."""

_Classes = collections.abc.Collection[configuration.RequestClass]
_Running = collections.abc.Mapping[str, int]
_MAX_RESERVED_FRACTION = 0.75
"""Maximum share of a cell's slots that is reserved against a class."""


class _ClassDemand:
    """Arrival rate and mean service time of one class."""

    def __init__(self) -> None:
        self.service_seconds: float | None = None
        self._decayed_arrivals = 0.0
        self._last_arrival_at = datetime.timedelta()

    def record_arrival(self, now: datetime.timedelta) -> None:
        """Records the arrival of a request."""
        self._decayed_arrivals = self._decay_arrivals(now) + 1.0
        self._last_arrival_at = now

    def record_service_time(self, seconds: float) -> None:
        """Records the time from the grant to the end of a complete answer."""
        if self.service_seconds is None:
            self.service_seconds = seconds
        self.service_seconds += _SMOOTHING * (seconds - self.service_seconds)

    def compute_arrival_rate(self, now: datetime.timedelta) -> float:
        """Returns the arrival rate, in requests per second."""
        return self._decay_arrivals(now) / _RATE_TIME_CONSTANT_SECONDS

    def compute_needed_slots(self, now: datetime.timedelta) -> float:
        """Returns the number of slots that the class is likely to need.

        A class with recent arrivals needs at least one slot, however short its
        requests are. Without a free slot its next request would wait until one
        of the running requests ends.
        """
        if self._decay_arrivals(now) < _MIN_RECENT_ARRIVALS:
            return 0.0
        mean_slots = self.compute_arrival_rate(now) * (self.service_seconds or
                                                       0.0)
        return max(
            1.0,
            mean_slots + _MARGIN_STANDARD_DEVIATIONS * math.sqrt(mean_slots))

    def _decay_arrivals(self, now: datetime.timedelta) -> float:
        elapsed = (now - self._last_arrival_at).total_seconds()
        return self._decayed_arrivals * math.exp(
            -elapsed / _RATE_TIME_CONSTANT_SECONDS)


class SlotReservation:
    """Trunk reservation [1]_ for more urgent classes.

    A class is more urgent than another one if its tier is higher or, within a
    tier, if its first-token target is shorter.

    Running requests are never preempted, so a slot that a long request takes is
    not available to urgent requests until it ends. A class whose requests last
    longer than the first-token target of a more urgent class must therefore
    leave the slots free that the urgent class is likely to need: its mean
    demand by Little's law plus a margin for its variation. Slots that requests
    of lower tiers occupy count as free in the proportion in which they are
    likely to be released within the target, so those of quick requests count as
    nearly free.

    References:
        .. [1] P. Key, "Optimal control and trunk reservation in loss networks",
           Probability in the Engineering and Informational Sciences 4(2), 1990.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _ClassDemand] = {}

    def record_arrival(self, name: str, now: datetime.timedelta) -> None:
        """Records the arrival of a request of a class."""
        self._get_demand(name).record_arrival(now)

    def record_service_time(self, name: str, seconds: float) -> None:
        """Records the service time of a complete answer of a class."""
        self._get_demand(name).record_service_time(seconds)

    def may_take_slot(self, candidate: configuration.RequestClass,
                      classes: _Classes, running: _Running, free: int,
                      slots: int, now: datetime.timedelta) -> bool:
        """Returns whether a request of a class may take a slot.

        Args:
            candidate: The class of the request.
            classes: All classes.
            running: Number of running attempts in the cell, by class.
            free: Number of free slots of the cell.
            slots: Number of all slots of the cell.
            now: Monotonic time.
        """
        more_urgent = [
            each for each in classes if _is_more_urgent(each, candidate) and
            self._outlasts_target(candidate, each)
        ]
        if not more_urgent:
            return True
        reserved = sum(
            self._compute_missing_slots(each, running, now)
            for each in more_urgent)
        horizon = min(each.first_token_seconds for each in more_urgent)
        lower_tiers = [each for each in classes if each.tier > candidate.tier]
        released = self._estimate_released_slots(lower_tiers, running, horizon)
        return free + released > min(reserved, _MAX_RESERVED_FRACTION * slots)

    def _outlasts_target(self, candidate: configuration.RequestClass,
                         other: configuration.RequestClass) -> bool:
        return self._estimate_service_seconds(
            candidate) > other.first_token_seconds

    def _compute_missing_slots(self, request_class: configuration.RequestClass,
                               running: _Running,
                               now: datetime.timedelta) -> float:
        demand = self._get_demand(request_class.name)
        needed = demand.compute_needed_slots(now)
        return max(0.0, needed - running[request_class.name])

    def _estimate_released_slots(self, classes: _Classes, running: _Running,
                                 horizon: float) -> float:
        return sum(running[each.name] *
                   self._compute_release_fraction(each, horizon)
                   for each in classes)

    def _compute_release_fraction(self,
                                  request_class: configuration.RequestClass,
                                  horizon: float) -> float:
        return horizon / max(horizon,
                             self._estimate_service_seconds(request_class))

    def _estimate_service_seconds(
            self, request_class: configuration.RequestClass) -> float:
        measured = self._get_demand(request_class.name).service_seconds
        if measured is not None:
            return measured
        return (request_class.expected_output_tokens *
                request_class.inter_token_seconds)

    def _get_demand(self, name: str) -> _ClassDemand:
        return self._demands.setdefault(name, _ClassDemand())


def _is_more_urgent(one: configuration.RequestClass,
                    other: configuration.RequestClass) -> bool:
    return ((one.tier, one.first_token_seconds)
            < (other.tier, other.first_token_seconds))
