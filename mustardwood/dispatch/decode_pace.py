"""Pace at which streams have to be decoded to end by their deadlines."""

import datetime

from mustardwood import profiles
from mustardwood.dispatch import service_request

_SMOOTHING_FACTOR = 0.05
"""Weight of a request in the moving averages."""
_DEVIATIONS = 1.0
"""Mean deviations above the mean pace at which most streams end in time."""
_SLOT_MARGIN = 2.0
"""Factor by which the slots have to bound the share of prefill more narrowly.

Prompts that miss the cache and engines slower than their profile prefill for
longer than is expected.
"""
_MIN_TIME = 0.001
"""Minimum time to a deadline, in seconds."""


class DecodePace:
    """Bounds the share of prefill on engines by the pace that streams need.

    Load pattern: a burst contains more prompts than the engines can serve. An
    engine that prefills in each step has room for the next prompt soon, but
    its streams get a token for each chunk only, so that they pass their
    deadlines. If requests are sent as fast as they can be prefilled, more load
    means that fewer of them end, as in receive livelock [1]_. Here, prompts
    wait before they have cost anything, and the engine decodes in the time
    between them.

    That is not needed on engines with few slots: their streams hold the slots
    while they are slow, and no further prompt is begun.

    References:
        .. [1] J. C. Mogul and K. K. Ramakrishnan, "Eliminating receive livelock
           in an interrupt-driven kernel", ACM Transactions on Computer Systems
           15(3), 1997.
    """

    def __init__(self) -> None:
        self._pace = 0.0
        self._deviation = 0.0
        self._time = 0.0
        self._prefill_tokens = 0.0

    def record_request(self, request: service_request.ServiceRequest,
                       now: datetime.timedelta, prefill_tokens: int) -> None:
        """Records the pace that a request needs which is sent now.

        Args:
            request: The request.
            now: Monotonic time.
            prefill_tokens: Number of tokens that the engine prefills for it.
        """
        pace = _find_needed_pace(request, now)
        if not pace:
            return
        weight = _SMOOTHING_FACTOR if self._pace else 1.0
        error = pace - self._pace
        if self._pace:
            self._deviation += weight * (abs(error) - self._deviation)
        self._pace += weight * error
        self._time += weight * (_find_time_left(request, now) - self._time)
        self._prefill_tokens += weight * (prefill_tokens - self._prefill_tokens)

    def find_max_prefill_share(self, request: service_request.ServiceRequest,
                               now: datetime.timedelta,
                               profile: profiles.EngineProfile, requests: int,
                               held_tokens: int, slots: int) -> float:
        """Returns the share of prefill up to which streams end in time.

        Args:
            request: A request that would be sent now.
            now: Monotonic time.
            profile: Speed of the engine.
            requests: Number of requests that run there.
            held_tokens: Number of tokens that they hold in its KV cache.
            slots: Number of requests that may run there at a time.

        Returns:
            Share of the time, 0 or less if the streams are too many, 1 or more
            if they end in time whatever is prefilled.
        """
        needed = max(self._pace + _DEVIATIONS * self._deviation,
                     _find_needed_pace(request, now))
        step_time = profile.find_step_time(requests, held_tokens)
        fastest = 1.0 / step_time
        slowest = 1.0 / (step_time + profile.find_chunk_time())
        share = (fastest - needed) / (fastest - slowest)
        prefill_time = slots * self._prefill_tokens / profile.prefill_rate
        is_bounded_by_slots = (0.0 < _SLOT_MARGIN * prefill_time <=
                               share * self._time)
        return 1.0 if is_bounded_by_slots else share


def _find_time_left(request: service_request.ServiceRequest,
                    now: datetime.timedelta) -> float:
    return max((request.expires_at - now).total_seconds(), _MIN_TIME)


def _find_needed_pace(request: service_request.ServiceRequest,
                      now: datetime.timedelta) -> float:
    """Returns the tokens a second that a response needs; 0 if unknown."""
    return request.prompt.output_tokens / _find_time_left(request, now)
