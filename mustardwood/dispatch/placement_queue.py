"""Requests that wait for an engine with room."""

import collections.abc
import datetime

from mustardwood import timing
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request

_INTERVAL = datetime.timedelta(milliseconds=15)
"""Interval of looks: a tenth of a long prompt's prefill."""
_MOST_MISSES = 6
"""Requests without room after which a look ends; it bounds processor time."""

_Retry = collections.abc.Callable[[], bool]


class PlacementQueue:
    """Tries waiting requests again, the most urgent that can be on time first.

    Load pattern: a rush that asks for more prompts than the engines can read.
    In order of arrival all would be late; here those that can still be on
    time go before those that can't, within each tier.
    """

    def __init__(self, clock: timing.Clock,
                 scheduler: forwarding_context.Scheduler) -> None:
        self._clock = clock
        self._scheduler = scheduler
        self._waiting: dict[service_request.ServiceRequest, _Retry] = {}
        self._is_looking = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, request: service_request.ServiceRequest,
            retry: _Retry) -> None:
        """Adds a request.

        Args:
            request: The request.
            retry: Tries to place it; returns whether it need not wait on.
        """
        self._waiting[request] = retry
        if not self._is_looking:
            self._is_looking = True
            self._scheduler.call_later(_INTERVAL, self._look)

    def remove(self, request: service_request.ServiceRequest) -> None:
        """Removes a request, if it waits."""
        self._waiting.pop(request, None)

    def _look(self) -> None:
        misses = 0
        for request in sorted(self._waiting, key=self._rank):
            retry = self._waiting.get(request)
            if retry is None:
                continue
            if retry():
                self._waiting.pop(request, None)
            else:
                misses += 1
                if misses >= _MOST_MISSES:
                    break
        if self._waiting:
            self._scheduler.call_later(_INTERVAL, self._look)
        else:
            self._is_looking = False

    def _rank(
        self, request: service_request.ServiceRequest
    ) -> tuple[int, bool, datetime.timedelta]:
        due = request.arrived_at + request.first_byte_target
        return request.tier, due < self._clock.monotonic(), due
