"""Load on an endpoint from requests that this scheduler did not grant."""

import collections
import datetime

from mustardwood.scheduling import load_report

_REPORT_TTL = datetime.timedelta(seconds=5)
_AGE_UNCERTAINTY = datetime.timedelta(seconds=1)
"""How much older a report may be than the age that it states."""


class ExternalLoad:
    """Estimates the number of requests that others run on an endpoint.

    It is the load in the endpoint's last report minus the attempts of this
    scheduler at the time that the report describes. That time is uncertain, so
    the largest number of attempts since the earliest possible time is
    subtracted.
    """

    def __init__(self) -> None:
        # Times at which the number of own attempts changed, and the new number.
        self._history: collections.deque[tuple[datetime.timedelta,
                                               int]] = collections.deque()
        self._external_count = 0
        self._reported_at: datetime.timedelta | None = None

    def record_own_running(self, running: int, now: datetime.timedelta) -> None:
        """Records how many attempts of this scheduler run on the endpoint."""
        self._history.append((now, running))
        while len(self._history
                 ) > 1 and now - self._history[1][0] > 2 * _REPORT_TTL:
            self._history.popleft()

    def record_report(self, report: load_report.LoadReport,
                      now: datetime.timedelta) -> None:
        """Updates the estimate from a load report."""
        earliest = now - report.age - _AGE_UNCERTAINTY
        max_own = 0
        for changed_at, running in self._history:
            if changed_at <= earliest:
                max_own = running
            else:
                max_own = max(max_own, running)
        self._external_count = max(0, report.running + report.queued - max_own)
        self._reported_at = now

    def count_external_requests(self, now: datetime.timedelta) -> int:
        """Returns the estimate; 0 if the last report is not recent."""
        if self._reported_at is None or now - self._reported_at > _REPORT_TTL:
            return 0
        return self._external_count
