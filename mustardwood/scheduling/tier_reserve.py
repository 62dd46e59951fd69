"""Slots kept free for more urgent classes."""

import collections.abc
import datetime
import math

from mustardwood import configuration

_RATE_MEMORY_SECONDS = 10.0
"""Time constant of the mean rate of arrivals."""
_SMOOTHING = 0.1
"""Weight of a new sample in the mean service time."""
_RECENT_COUNT = 0.1
"""Decayed arrivals from which on a class counts as asked for."""
_DEVIATIONS = 3.0
"""Standard deviations of arrivals that are provided for above their mean."""

_Classes = collections.abc.Collection[configuration.RequestClass]
_Running = collections.abc.Mapping[str, int]
_LARGEST_SHARE = 0.75
"""Largest share of a cell's slots that a class leaves free."""


class _Demand:
    """Arrivals and service times of one class."""

    def __init__(self) -> None:
        self.service_seconds: float | None = None
        self._count = 0.0
        self._counted_at = datetime.timedelta()

    def record_arrival(self, now: datetime.timedelta) -> None:
        """Counts an arrival."""
        self._count = self._decay(now) + 1.0
        self._counted_at = now

    def record_service(self, seconds: float) -> None:
        """Takes in the time from a grant to the end of a whole answer."""
        if self.service_seconds is None:
            self.service_seconds = seconds
        self.service_seconds += _SMOOTHING * (seconds - self.service_seconds)

    def compute_rate(self, now: datetime.timedelta) -> float:
        """Returns the arrivals per second."""
        return self._decay(now) / _RATE_MEMORY_SECONDS

    def compute_slots(self, now: datetime.timedelta) -> float:
        """Returns the slots that the class is likely to need.

        A class that was asked for lately needs at least one, however short its
        work is: it would wait for the end of all else.
        """
        if self._decay(now) < _RECENT_COUNT:
            return 0.0
        load = self.compute_rate(now) * (self.service_seconds or 0.0)
        return max(1.0, load + _DEVIATIONS * math.sqrt(load))

    def _decay(self, now: datetime.timedelta) -> float:
        elapsed = (now - self._counted_at).total_seconds()
        return self._count * math.exp(-elapsed / _RATE_MEMORY_SECONDS)


class TierReserve:
    """Trunk reservation [1]_ for classes that are more urgent.

    A higher tier is more urgent, and within a tier a tighter target.

    Running work is never preempted, so a slot given to long work is lost to
    urgent requests for its whole duration. A class whose work lasts longer than
    a more urgent class's target therefore leaves free what that class is likely
    to need: its mean demand by Little's law and a margin for its variation.
    Slots of quick work that is less urgent count as nearly free.

    References:
        .. [1] P. Key, "Optimal control and trunk reservation in loss networks",
           Probability in the Engineering and Informational Sciences 4(2), 1990.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}

    def record_arrival(self, name: str, now: datetime.timedelta) -> None:
        """Notes an arrival of a class."""
        self._find(name).record_arrival(now)

    def record_service(self, name: str, seconds: float) -> None:
        """Takes in the service time of a whole answer of a class."""
        self._find(name).record_service(seconds)

    def may_start(self, own: configuration.RequestClass, classes: _Classes,
                  running: _Running, free: int, slots: int,
                  now: datetime.timedelta) -> bool:
        """Returns whether a class may take a slot.

        Args:
            own: The class that would start a request.
            classes: All classes.
            running: Attempts that run in the cell, by class.
            free: Free slots of the cell.
            slots: All slots of the cell.
            now: The time.
        """
        above = [
            each for each in classes
            if _is_more_urgent(each, own) and self._is_long(own, each)
        ]
        if not above:
            return True
        held = sum(self._count_missing(each, running, now) for each in above)
        horizon = min(each.first_token_seconds for each in above)
        below = [each for each in classes if each.tier > own.tier]
        released = self._expect_releases(below, running, horizon)
        return free + released > min(held, _LARGEST_SHARE * slots)

    def _is_long(self, own: configuration.RequestClass,
                 other: configuration.RequestClass) -> bool:
        return self._find_service(own) > other.first_token_seconds

    def _count_missing(self, request_class: configuration.RequestClass,
                       running: _Running, now: datetime.timedelta) -> float:
        demand = self._find(request_class.name)
        needed = demand.compute_slots(now)
        return max(0.0, needed - running[request_class.name])

    def _expect_releases(self, classes: _Classes, running: _Running,
                         horizon: float) -> float:
        return sum(running[each.name] * self._find_release_share(each, horizon)
                   for each in classes)

    def _find_release_share(self, request_class: configuration.RequestClass,
                            horizon: float) -> float:
        return horizon / max(horizon, self._find_service(request_class))

    def _find_service(self, request_class: configuration.RequestClass) -> float:
        measured = self._find(request_class.name).service_seconds
        if measured is not None:
            return measured
        return (request_class.expected_output_tokens *
                request_class.inter_token_seconds)

    def _find(self, name: str) -> _Demand:
        return self._demands.setdefault(name, _Demand())


def _is_more_urgent(one: configuration.RequestClass,
                    other: configuration.RequestClass) -> bool:
    return ((one.tier, one.first_token_seconds)
            < (other.tier, other.first_token_seconds))
