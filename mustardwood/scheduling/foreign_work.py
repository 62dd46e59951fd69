"""Work on an endpoint that this scheduler did not grant."""

import collections
import datetime

from mustardwood.scheduling import load_report

_VALIDITY = datetime.timedelta(seconds=5)
_UNCERTAINTY = datetime.timedelta(seconds=1)
"""How much older than its stated age a report may be."""


class ForeignWork:
    """Compares load reports with the own work at the time they describe."""

    def __init__(self) -> None:
        self._own: collections.deque[tuple[datetime.timedelta,
                                           int]] = collections.deque()
        self._foreign = 0
        self._reported_at: datetime.timedelta | None = None

    def record_own(self, running: int, now: datetime.timedelta) -> None:
        """Notes a change of the number of own attempts."""
        self._own.append((now, running))
        while len(self._own) > 1 and now - self._own[1][0] > 2 * _VALIDITY:
            self._own.popleft()

    def record_report(self, report: load_report.LoadReport,
                      now: datetime.timedelta) -> None:
        """Takes in a load report."""
        seen_from = now - report.age - _UNCERTAINTY
        own = 0
        for at, running in self._own:
            if at <= seen_from:
                own = running
            else:
                own = max(own, running)
        self._foreign = max(0, report.running + report.queued - own)
        self._reported_at = now

    def count(self, now: datetime.timedelta) -> int:
        """Returns the foreign requests by the last report, if it is recent."""
        if self._reported_at is None or now - self._reported_at > _VALIDITY:
            return 0
        return self._foreign
