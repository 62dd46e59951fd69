"""Wait of a request for an endpoint with room."""

import collections.abc
import datetime

from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import forwarding_context
from mustardwood.dispatch import placement_limit
from mustardwood.dispatch import request_record
from mustardwood.dispatch import router_refusals
from mustardwood.dispatch import service_request
from mustardwood.forwarding import router_refusal

_MAX_WAIT_TARGETS = 1.6
"""Maximum time in the queue as a multiple of the first-byte target.

The response is late by then, but still of use to the caller. A request also
waits for no more than a third of the time until its deadline and is refused
then, so that its caller has time for a retry.
"""

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class RoomWait:
    """Queues a request while no endpoint has room for it."""

    def __init__(self, request: service_request.ServiceRequest,
                 context: forwarding_context.ForwardingContext,
                 record: request_record.RequestRecord,
                 retry: collections.abc.Callable[[], bool],
                 refuse: collections.abc.Callable[[], None]) -> None:
        """Creates a wait; `start` or `enter_queue` begins it.

        Args:
            request: The request.
            context: Objects that all requests share.
            record: Log line of the request.
            retry: Tries to place the request; returns whether it no longer has
                to wait.
            refuse: Called when it has waited for the maximum time.
        """
        self._request = request
        self._context = context
        self._record = record
        self._retry = retry
        self._refuse = refuse
        self._timer: forwarding_context.Timer | None = None
        self._is_queued = False

    @property
    def is_queued(self) -> bool:
        """Whether the request waits."""
        return self._is_queued

    def find_refusal(self, limit: placement_limit.PlacementLimit,
                     usable: _Endpoints, excluded: collections.abc.Set[str],
                     has_run: bool,
                     is_head_sent: bool) -> router_refusal.RouterRefusal | None:
        """Returns why a request does not wait for room; None if it does.

        A response that has begun can't be refused, so it waits until its
        deadline or until the caller disconnects.

        Args:
            limit: The limit that keeps the request from being placed.
            usable: Endpoints of its service that accept new requests.
            excluded: Names of those that must not be chosen.
            has_run: Whether an endpoint may have run the request.
            is_head_sent: Whether the caller got the head of a response.
        """
        context = self._context
        if limit is placement_limit.PlacementLimit.REGISTRATIONS:
            return None
        if len(excluded) == len(usable):
            return router_refusal.RouterRefusal("no endpoint left")
        if is_head_sent:
            return None
        if limit is placement_limit.PlacementLimit.PAUSED:
            pause = self._find_pause(usable, excluded, has_run)
            if pause is not None:
                return router_refusal.RouterRefusal(
                    "endpoints ask for a pause",
                    router_refusals.build_not_run_refusal(
                        max(pause,
                            context.retry_after.draw_delay(self._request))))
        if (limit is placement_limit.PlacementLimit.RATE and
                not context.rate_limits.has_share(usable)):
            return router_refusal.RouterRefusal("no share of a rate limit")
        return None

    def start(self, group: str, has_run: bool, is_head_sent: bool) -> None:
        """Queues a request that no endpoint runs, if it is not queued.

        Args:
            group: See `forwarding_context.Queue`.
            has_run: Whether an endpoint may have run the request.
            is_head_sent: Whether the caller got the head of a response.
        """
        if self._is_queued:
            return
        if not is_head_sent:
            self._timer = self._context.scheduler.call_later(
                self._compute_queue_time(has_run), self._handle_timeout)
        self.enter_queue(group, is_head_sent)

    def enter_queue(self, group: str, has_begun: bool) -> None:
        """Queues the request without a maximum time, if it is not queued.

        Args:
            group: See `forwarding_context.Queue`.
            has_begun: Whether an engine has run a part of it.
        """
        if not self._is_queued:
            self._is_queued = True
            self._context.queue.add(self._request,
                                    self._retry,
                                    group=group,
                                    has_begun=has_begun)

    def leave_queue(self) -> None:
        """Ends the wait, if there is one."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._is_queued:
            self._is_queued = False
            self._record.end_wait()
            self._context.queue.remove(self._request)

    def _find_pause(self, usable: _Endpoints,
                    excluded: collections.abc.Set[str],
                    has_run: bool) -> datetime.timedelta | None:
        """Returns the time until an endpoint may be used; None to wait for it.

        The most urgent requests wait for the first pause that ends in time.
        """
        pause = self._context.pauses.find_time_left(
            each for each in usable if each.name not in excluded)
        if (pause < self._compute_queue_time(has_run) and
                not self._context.queue.has_more_urgent(self._request)):
            return None
        return pause

    def _compute_queue_time(self, has_run: bool) -> datetime.timedelta:
        """Returns for how long a request waits before it is refused.

        If an endpoint has run it, the time until now was no time in the queue.
        """
        request, now = self._request, self._context.clock.monotonic()
        start = now if has_run else request.arrived_at
        max_wait = min(request.first_byte_target * _MAX_WAIT_TARGETS,
                       (request.expires_at - start) / 3)
        return max(start + max_wait - now, datetime.timedelta())

    def _handle_timeout(self) -> None:
        self.leave_queue()
        self._refuse()
