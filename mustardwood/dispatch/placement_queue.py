"""Queue of requests that wait for an engine with free capacity."""

import collections
import collections.abc
import datetime

from mustardwood import timing
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request

_RETRY_INTERVAL = datetime.timedelta(milliseconds=15)
"""Interval of placement attempts: a tenth of a long prompt's prefill."""
_MAX_FAILED_RETRIES = 6
"""Failed placements after which a round ends for a group of requests.

It limits the processor time. Other groups may have room on other endpoints.
"""

_Retry = collections.abc.Callable[[], bool]


class PlacementQueue:
    """Retries the placement of waiting requests in order of priority.

    Load pattern: a burst contains more prompts than the engines can prefill.
    In order of arrival all responses would be late. Here, within each tier,
    requests that can still meet their first-byte target come before those that
    can't, and the earlier due time comes first.
    """

    def __init__(self, clock: timing.Clock,
                 scheduler: forwarding_context.Scheduler) -> None:
        self._clock = clock
        self._scheduler = scheduler
        self._waiting: dict[service_request.ServiceRequest, _Retry] = {}
        self._groups: dict[service_request.ServiceRequest, str] = {}
        self._is_retry_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self,
            request: service_request.ServiceRequest,
            retry: _Retry,
            group: str = "") -> None:
        """See `forwarding_context.Queue`."""
        self._waiting[request] = retry
        self._groups[request] = group
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._scheduler.call_later(_RETRY_INTERVAL, self._retry_requests)

    def remove(self, request: service_request.ServiceRequest) -> None:
        """Removes a request if it is in the queue."""
        self._waiting.pop(request, None)
        self._groups.pop(request, None)

    def _retry_requests(self) -> None:
        failures: collections.Counter[str] = collections.Counter()
        for request in sorted(self._waiting, key=self._find_priority):
            retry = self._waiting.get(request)
            if retry is None:
                continue
            group = self._groups[request]
            if failures[group] >= _MAX_FAILED_RETRIES:
                continue
            if retry():
                self.remove(request)
            else:
                failures[group] += 1
        if self._waiting:
            self._scheduler.call_later(_RETRY_INTERVAL, self._retry_requests)
        else:
            self._is_retry_scheduled = False

    def _find_priority(
        self, request: service_request.ServiceRequest
    ) -> tuple[int, bool, datetime.timedelta]:
        due_at = request.arrived_at + request.first_byte_target
        return request.tier, due_at < self._clock.monotonic(), due_at
