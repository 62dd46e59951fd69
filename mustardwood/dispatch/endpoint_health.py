"""What recent answers say about endpoints."""

import collections.abc
import dataclasses
import datetime

from mustardwood import timing

_HALF_LIFE = datetime.timedelta(seconds=3)
"""Time in which the weight of past failures halves: outages last seconds."""
_WEIGHT = 0.25
"""Weight of the newest answer in the moving average of failures."""
_UNREACHABLE_TIME = datetime.timedelta(milliseconds=700)
"""Time for which an endpoint is avoided after a failed connection."""
_LONGEST_TIME = datetime.timedelta(seconds=3)
"""Bound of that time after repeated failures."""


@dataclasses.dataclass(frozen=True)
class _Record:
    failures: float
    updated: datetime.timedelta
    avoid_until: datetime.timedelta
    misses: int


class EndpointHealth:
    """A decaying share of failed answers, and recent failures to connect.

    Load pattern: an endpoint that fails part of its requests while its health
    check passes. It is placed last rather than excluded, since all endpoints
    of a service may fail at once.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}

    def record_success(self, endpoint: str) -> None:
        """Counts a complete answer."""
        if endpoint in self._records:
            self._update(endpoint, 0.0, datetime.timedelta(), misses=0)

    def record_failure(self, endpoint: str) -> None:
        """Counts a failed or broken answer."""
        self._update(endpoint, 1.0, datetime.timedelta(), misses=0)

    def record_unreachable(self, endpoint: str) -> None:
        """Counts a failed connection or a silent endpoint."""
        record = self._records.get(endpoint)
        misses = 1 if record is None else record.misses + 1
        wait = min(_UNREACHABLE_TIME * 2**(misses - 1), _LONGEST_TIME)
        self._update(endpoint, 1.0, wait, misses=misses)

    def forget_endpoint(self, endpoint: str) -> None:
        """Forgets an endpoint that started anew."""
        self._records.pop(endpoint, None)

    def is_avoided(self, endpoint: str) -> bool:
        """Returns whether a connection failed a moment ago."""
        return endpoint in self.list_avoided()

    def list_avoided(self) -> collections.abc.Set[str]:
        """Returns the endpoints to which a connection failed a moment ago."""
        now = self._clock.monotonic()
        return {
            name for name, record in self._records.items()
            if now < record.avoid_until
        }

    def find_failure_rate(self, endpoint: str) -> float:
        """Returns the decayed share of failures, from 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        age = self._clock.monotonic() - record.updated
        return record.failures * 0.5**(age / _HALF_LIFE)

    def _update(self, endpoint: str, failure: float, wait: datetime.timedelta,
                misses: int) -> None:
        now = self._clock.monotonic()
        share = self.find_failure_rate(endpoint)
        self._records[endpoint] = _Record(share + _WEIGHT * (failure - share),
                                          now, now + wait, misses)
