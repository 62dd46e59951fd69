"""Queue of requests that wait for an engine with free capacity."""

import collections
import collections.abc
import dataclasses
import datetime

from mustardwood import timing
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import service_request

_RETRY_INTERVAL = datetime.timedelta(milliseconds=15)
"""Interval of placement attempts: a tenth of a long prompt's prefill."""
_MAX_FAILED_RETRIES = 6
"""Failed placements of a group of requests after which a round skips the rest.

It limits the processor time. Other groups may have room on other endpoints.
"""
_MAX_FAILED_RETRIES_OF_BEGUN = 2
"""The same for requests whose response has begun, which are tried in turn."""

_Retry = collections.abc.Callable[[], bool]


@dataclasses.dataclass(frozen=True)
class _Waiting:
    retry: _Retry
    group: tuple[str, str, bool]
    has_begun: bool


class PlacementQueue:
    """Retries the placement of waiting requests in order of priority.

    Load pattern: a burst contains more prompts than the engines can prefill.
    In order of arrival all responses would be late. Here, within each tier,
    requests that can still meet their first-byte target come before those that
    can't, and the earlier due time comes first.

    Failure: responses that have begun, and have lost their engine, wait for
    longer than new requests. They are limited separately, so that they do not
    hold up requests that could be placed.
    """

    def __init__(self, clock: timing.Clock,
                 scheduler: forwarding_context.Scheduler) -> None:
        self._clock = clock
        self._scheduler = scheduler
        self._waiting: dict[service_request.ServiceRequest, _Waiting] = {}
        self._is_retry_scheduled = False

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self,
            request: service_request.ServiceRequest,
            retry: _Retry,
            group: str = "",
            has_begun: bool = False) -> None:
        """See `forwarding_context.Queue`."""
        self._waiting[request] = _Waiting(retry,
                                          (request.service, group, has_begun),
                                          has_begun)
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._scheduler.call_later(_RETRY_INTERVAL, self._retry_requests)

    def has_more_urgent(self, request: service_request.ServiceRequest) -> bool:
        """See `forwarding_context.Queue`."""
        return any(each.service == request.service and each.tier < request.tier
                   for each in self._waiting)

    def remove(self, request: service_request.ServiceRequest) -> None:
        """Removes a request if it is in the queue."""
        self._waiting.pop(request, None)

    def _retry_requests(self) -> None:
        try:
            self._retry_in_order()
        finally:
            self._is_retry_scheduled = bool(self._waiting)
            if self._is_retry_scheduled:
                self._scheduler.call_later(_RETRY_INTERVAL,
                                           self._retry_requests)

    def _retry_in_order(self) -> None:
        failed_retries: collections.Counter[tuple[str, str, bool]] = (
            collections.Counter())
        for request in sorted(self._waiting, key=self._find_priority):
            waiting = self._waiting.get(request)
            if waiting is None:
                continue
            if failed_retries[waiting.group] >= (_MAX_FAILED_RETRIES_OF_BEGUN
                                                 if waiting.has_begun else
                                                 _MAX_FAILED_RETRIES):
                continue
            if waiting.retry():
                self._waiting.pop(request, None)
                continue
            failed_retries[waiting.group] += 1
            if waiting.has_begun and request in self._waiting:
                # Equal priorities are sorted in the order of insertion.
                self._waiting[request] = self._waiting.pop(request)

    def _find_priority(
        self, request: service_request.ServiceRequest
    ) -> tuple[int, bool, datetime.timedelta]:
        if self._waiting[request].has_begun:
            return request.tier, True, datetime.timedelta.max
        due_at = request.arrived_at + request.first_byte_target
        return request.tier, due_at < self._clock.monotonic(), due_at
