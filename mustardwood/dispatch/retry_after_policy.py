"""When callers of refused requests come back."""

import datetime
import random

from mustardwood.dispatch import service_request

_FIRST = datetime.timedelta(milliseconds=600)
"""Return of the most urgent tier: an engine has read three long prompts."""
_A_TIER = datetime.timedelta(milliseconds=400)
"""Later return of each tier that is less urgent."""
_LATEST_SHARE = 0.25
"""Part of a request's time by which it is back; callers use up to a third."""
_SPREAD = 0.5
"""Part of the time by which returns differ."""


class RetryAfterPolicy:
    """Draws times that spread returns, the most urgent first.

    Load pattern: a rush is refused; if all came back at one moment they would
    be the next rush, and urgent requests would meet the same queue.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draw_delay(
            self,
            request: service_request.ServiceRequest) -> datetime.timedelta:
        """Returns the time after which a refused request should be repeated."""
        wanted = _FIRST + request.tier * _A_TIER
        latest = (request.expires_at - request.arrived_at) * _LATEST_SHARE
        return min(wanted, latest) * self._rng.uniform(1 - _SPREAD, 1 + _SPREAD)
