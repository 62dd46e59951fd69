"""Health of endpoints, judged by their recent responses."""

import collections.abc
import dataclasses
import datetime

from mustardwood import timing

_HALF_LIFE = datetime.timedelta(seconds=3)
"""Time in which the failure rate halves; outages last a few seconds."""
_SMOOTHING_FACTOR = 0.25
"""Weight of the newest response in the moving average of failures."""
_INITIAL_AVOID_TIME = datetime.timedelta(milliseconds=700)
"""Time for which an endpoint is avoided after one failed connection.

The time doubles with each further failure in a row.
"""
_REFUSAL_MEMORY = datetime.timedelta(seconds=1)
"""Time for which an endpoint that has turned a request away counts as full."""
_MAX_AVOID_TIME = datetime.timedelta(seconds=3)
"""Maximum time for which an endpoint is avoided."""


@dataclasses.dataclass(frozen=True)
class _Record:
    failure_rate: float
    updated_at: datetime.timedelta
    avoid_until: datetime.timedelta
    connect_failures: int


class EndpointHealth:
    """Failure rates and recent connection failures of endpoints.

    The failure rate is an exponential moving average that decays with time.

    Failure: an endpoint fails some of its requests although its health check
    passes. Such an endpoint is ranked last instead of excluded, because all
    endpoints of a service may fail at the same time.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._refused_at: dict[str, datetime.timedelta] = {}

    def record_success(self, endpoint: str) -> None:
        """Records a complete response."""
        if endpoint in self._records:
            self._update(endpoint,
                         0.0,
                         datetime.timedelta(),
                         connect_failures=0)

    def record_failure(self, endpoint: str) -> None:
        """Records a failed or incomplete response."""
        self._update(endpoint, 1.0, datetime.timedelta(), connect_failures=0)

    def record_unreachable(self, endpoint: str) -> None:
        """Records a failed connection or a stalled endpoint."""
        record = self._records.get(endpoint)
        connect_failures = 1 if record is None else record.connect_failures + 1
        avoid_time = timing.double_delay(_INITIAL_AVOID_TIME,
                                         connect_failures - 1, _MAX_AVOID_TIME)
        self._update(endpoint,
                     1.0,
                     avoid_time,
                     connect_failures=connect_failures)

    def record_refusal(self, endpoint: str) -> None:
        """Records that an endpoint has turned a request away."""
        self._refused_at[endpoint] = self._clock.monotonic()

    def has_refused(self, endpoint: str) -> bool:
        """Returns whether an endpoint has just turned a request away."""
        refused_at = self._refused_at.get(endpoint)
        return (refused_at is not None and
                self._clock.monotonic() - refused_at < _REFUSAL_MEMORY)

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes the history of an endpoint that has restarted."""
        self._records.pop(endpoint, None)
        self._refused_at.pop(endpoint, None)

    def is_avoided(self, endpoint: str) -> bool:
        """Returns whether an endpoint is avoided after a failed connection."""
        return endpoint in self.list_avoided()

    def list_avoided(self) -> collections.abc.Set[str]:
        """Returns the endpoints that are avoided after a failed connection."""
        now = self._clock.monotonic()
        return {
            name for name, record in self._records.items()
            if now < record.avoid_until
        }

    def find_failure_rate(self, endpoint: str) -> float:
        """Returns the decayed failure rate, from 0 to 1."""
        record = self._records.get(endpoint)
        if record is None:
            return 0.0
        age = self._clock.monotonic() - record.updated_at
        return record.failure_rate * 0.5**(age / _HALF_LIFE)

    def _update(self, endpoint: str, failure: float,
                avoid_time: datetime.timedelta, connect_failures: int) -> None:
        now = self._clock.monotonic()
        share = self.find_failure_rate(endpoint)
        self._records[endpoint] = _Record(
            share + _SMOOTHING_FACTOR * (failure - share), now,
            now + avoid_time, connect_failures)
