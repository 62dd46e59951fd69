"""Retry-After delays of refused requests."""

import datetime
import random

from mustardwood.dispatch import service_request

_BASE_DELAY = datetime.timedelta(milliseconds=600)
"""Mean delay of the most urgent tier.

An engine prefills three long prompts in it.
"""
_MAX_ADDED_DELAY = datetime.timedelta(milliseconds=800)
"""Additional delay of the least urgent tier."""
_MAX_TIME_SHARE = 0.25
"""Maximum mean delay as a share of the time until a request's deadline.

Callers wait for up to a third of that time.
"""
_JITTER = 0.5
"""Maximum relative deviation of a delay from its mean."""


class RetryAfterPolicy:
    """Chooses random retry delays, shorter ones for more urgent tiers.

    Load pattern: a burst of requests is refused. If all callers retried at the
    same time they would cause the next burst, and urgent requests would find
    the same queue as before.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def draw_delay(
            self,
            request: service_request.ServiceRequest) -> datetime.timedelta:
        """Returns the delay after which a refused request should be retried."""
        delay = _BASE_DELAY + (1 - request.urgency) * _MAX_ADDED_DELAY
        return min(delay, _find_max_delay(request)) * self._draw_factor()

    def draw_long_delay(
            self,
            request: service_request.ServiceRequest) -> datetime.timedelta:
        """Returns the delay for a request of a tier that has no capacity.

        Load pattern: most engines have left. Less urgent requests that return
        soon find no capacity either.
        """
        return _find_max_delay(request) * self._draw_factor()

    def _draw_factor(self) -> float:
        return self._rng.uniform(1 - _JITTER, 1 + _JITTER)


def _find_max_delay(
        request: service_request.ServiceRequest) -> datetime.timedelta:
    return (request.expires_at - request.arrived_at) * _MAX_TIME_SHARE
