"""Work on an endpoint that this scheduler did not grant."""

import collections
import datetime

from mustardwood.scheduling import load_report

_REPORT_VALIDITY = datetime.timedelta(seconds=5)
_REPORT_AGE_UNCERTAINTY = datetime.timedelta(seconds=1)
"""How much older than its stated age a report may be."""


class ExternalLoad:
    """Compares load reports with the own work at the time they describe."""

    def __init__(self) -> None:
        self._own_running: collections.deque[tuple[datetime.timedelta,
                                                   int]] = collections.deque()
        self._external = 0
        self._reported_at: datetime.timedelta | None = None

    def record_own_running(self, running: int, now: datetime.timedelta) -> None:
        """Notes a change of the number of own attempts."""
        self._own_running.append((now, running))
        while len(self._own_running
                 ) > 1 and now - self._own_running[1][0] > 2 * _REPORT_VALIDITY:
            self._own_running.popleft()

    def record_report(self, report: load_report.LoadReport,
                      now: datetime.timedelta) -> None:
        """Takes in a load report."""
        earliest = now - report.age - _REPORT_AGE_UNCERTAINTY
        max_own_running = 0
        for changed_at, running in self._own_running:
            if changed_at <= earliest:
                max_own_running = running
            else:
                max_own_running = max(max_own_running, running)
        self._external = max(0,
                             report.running + report.queued - max_own_running)
        self._reported_at = now

    def count_external_requests(self, now: datetime.timedelta) -> int:
        """Returns the foreign requests by the last report, if it is recent."""
        if self._reported_at is None or now - self._reported_at > _REPORT_VALIDITY:
            return 0
        return self._external
