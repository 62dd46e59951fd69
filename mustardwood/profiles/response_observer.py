"""Measures the responses that are forwarded.

It is not among the package's public names, because it imports `dispatch`, which
imports these.
"""

import collections.abc
import re

from mustardwood import dispatch
from mustardwood import profiles
from mustardwood import timing

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_FAILURE_RATE = 0.2
"""Recent rate of failures from which an endpoint's responses do not count."""


class ResponseObserver:
    """Implements `dispatch.ResponseObserver` with a table of profiles.

    Responses from endpoints that fail or state a rate limit do not count,
    because their time says nothing about the engine's speed.
    """

    def __init__(
        self, table: profiles.ProfileTable, clock: timing.Clock,
        loads: dispatch.LoadTable, health: dispatch.EndpointHealth,
        rate_limits: dispatch.EndpointRateLimits,
        find_service: collections.abc.Callable[[str],
                                               dispatch.ServiceParameters]
    ) -> None:
        """Creates an observer.

        Args:
            table: Table to record the measurements in.
            clock: Source of the monotonic time.
            loads: Load of the engines.
            health: Recent failures of the endpoints.
            rate_limits: Rate limits that endpoints state.
            find_service: Returns the parameters of a service.
        """
        self._table = table
        self._clock = clock
        self._loads = loads
        self._health = health
        self._rate_limits = rate_limits
        self._find_service = find_service

    def record_events(self, request: dispatch.ServiceRequest,
                      choice: dispatch.Choice,
                      response: profiles.ResponseTiming, events: bytes,
                      is_whole: bool) -> None:
        """See `dispatch.ResponseObserver`."""
        if not request.prompt.input_tokens:
            return
        endpoint, now = choice.endpoint, self._clock.monotonic()
        if (self._rate_limits.find_limit(endpoint) is not None or
                self._health.find_failure_rate(
                    endpoint.name) > _MAX_FAILURE_RATE):
            response.is_ignored = True
        if not response.has_events and is_whole:
            prompt = request.prompt
            own_tokens = prompt.input_tokens - prompt.shared_tokens
            response.record_first_event(
                self._table, now, own_tokens,
                max(0, choice.load.prefill_tokens - own_tokens))
        response.record_events(
            self._table, now, len(_EVENT_END.findall(events)),
            self._find_service(request.service).event_tokens,
            self._loads.find_load(endpoint.name).build_state(endpoint.slots),
            self._loads.find_prefill_duration(endpoint.name))

    def record_end(self, request: dispatch.ServiceRequest,
                   response: profiles.ResponseTiming) -> None:
        """See `dispatch.ResponseObserver`."""
        if request.prompt.output_tokens:
            response.record_end(
                self._table,
                self._find_service(request.service).event_tokens,
                request.prompt.output_tokens)
