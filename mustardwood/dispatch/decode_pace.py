"""Pace at which streams have to be decoded to end by their deadlines."""

import datetime
import math

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
_MIN_OBSERVED_TIME = datetime.timedelta(milliseconds=500)
"""Time since the first event from which the pace of a stream is judged."""
_TIME_CONSTANT = datetime.timedelta(seconds=1)
"""Time constant of the share of streams that are behind."""
_MAX_OBSERVATION_AGE = datetime.timedelta(seconds=2)
"""Time without an event of any stream after which the share is unknown."""
_MIN_BEHIND_SHARE = 0.1
"""Share of streams behind from which the bound holds.

Some streams announce more output than others and are behind in calm, too.
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

    The bound follows from the engine's profile, which may be wrong. It holds
    only while streams are observed to be behind the pace that they need. It is
    not needed on engines with few slots: their streams hold the slots while
    they are slow, and no further prompt is begun.

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
        self._behind_share = 0.0
        self._observed_at: datetime.timedelta | None = None

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

    def record_progress(self, request: service_request.ServiceRequest,
                        began_at: datetime.timedelta, tokens: int,
                        now: datetime.timedelta) -> None:
        """Records how far a stream has come.

        Args:
            request: Its request.
            began_at: Monotonic time of its first event.
            tokens: Number of tokens in its events so far.
            now: Monotonic time.
        """
        elapsed = now - began_at
        needed = _find_needed_pace(request, began_at)
        if elapsed < _MIN_OBSERVED_TIME or not needed:
            return
        is_behind = tokens < needed * elapsed.total_seconds()
        since = (now - self._observed_at
                 if self._observed_at is not None else _MAX_OBSERVATION_AGE)
        weight = 1.0 - math.exp(-(since / _TIME_CONSTANT))
        self._observed_at = now
        self._behind_share += weight * (is_behind - self._behind_share)

    def are_streams_behind(self, now: datetime.timedelta) -> bool:
        """Returns whether streams are observed to be too slow.

        Args:
            now: Monotonic time.
        """
        return (self._observed_at is not None and
                now - self._observed_at < _MAX_OBSERVATION_AGE and
                self._behind_share >= _MIN_BEHIND_SHARE)

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
        if not self.are_streams_behind(now):
            return 1.0
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
