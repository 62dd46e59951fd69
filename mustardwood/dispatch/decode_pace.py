"""Pace at which streams have to be decoded to end by their deadlines."""

import datetime

from mustardwood import profiles
from mustardwood.dispatch import service_request

_SMOOTHING_FACTOR = 0.05
"""Weight of a request in the moving averages."""
_DEVIATIONS = 1.0
"""Mean deviations above the mean pace at which most streams end in time."""
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

    References:
        .. [1] J. C. Mogul and K. K. Ramakrishnan, "Eliminating receive livelock
           in an interrupt-driven kernel", ACM Transactions on Computer Systems
           15(3), 1997.
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._deviation = 0.0

    def record_request(self, request: service_request.ServiceRequest,
                       now: datetime.timedelta) -> None:
        """Records the pace that a request needs which is sent now.

        Args:
            request: The request.
            now: Monotonic time.
        """
        pace = _find_needed_pace(request, now)
        if not pace:
            return
        if not self._mean:
            self._mean = pace
            return
        error = pace - self._mean
        self._mean += _SMOOTHING_FACTOR * error
        self._deviation += _SMOOTHING_FACTOR * (abs(error) - self._deviation)

    def find_max_prefill_share(self, request: service_request.ServiceRequest,
                               now: datetime.timedelta,
                               profile: profiles.EngineProfile, requests: int,
                               held_tokens: int) -> float:
        """Returns the share of prefill up to which streams end in time.

        Args:
            request: A request that would be sent now.
            now: Monotonic time.
            profile: Speed of the engine.
            requests: Number of requests that run there.
            held_tokens: Number of tokens that they hold in its KV cache.

        Returns:
            Share of the time, 0 or less if the streams are too many, 1 or more
            if they end in time whatever is prefilled.
        """
        needed = max(self._mean + _DEVIATIONS * self._deviation,
                     _find_needed_pace(request, now))
        step_time = profile.find_step_time(requests, held_tokens)
        fastest = 1.0 / step_time
        slowest = 1.0 / (step_time + profile.find_chunk_time())
        return (fastest - needed) / (fastest - slowest)


def _find_needed_pace(request: service_request.ServiceRequest,
                      now: datetime.timedelta) -> float:
    """Returns the tokens a second that a response needs; 0 if unknown."""
    time_left = (request.expires_at - now).total_seconds()
    return request.prompt.output_tokens / max(time_left, _MIN_TIME)
