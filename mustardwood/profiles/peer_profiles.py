"""What peers have learned of the engines of services."""

import collections.abc
import dataclasses
import datetime

from mustardwood.profiles import engine_profile
from mustardwood.profiles import profile_report

_LIFETIME = datetime.timedelta(minutes=5)
"""Time after which a peer's report is ignored.

Speeds change rarely, and the peers may be without requests for minutes.
"""
_MAX_WEIGHT = 50.0
"""Upper limit of the weight of the peers' reports, in samples.

A VM that has more samples of its own relies on these.
"""
_STEPS = ("step_time", "stream_step_time", "context_step_time", "chunk_time")
_PREFILLS = ("prefill_rate", "base_time")
_OUTPUTS = ("output_share",)

_Reports = list[profile_report.ProfileReport]


class PeerProfiles:
    """Combines the reports of peers with what this VM has learned.

    Failure: a VM starts and knows nothing of the engines; or a peer has a
    wrong estimate or a fault. The peers' values are combined by their median,
    which up to half of the reports can't move beyond the others' values, and
    count as a limited number of samples.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[datetime.timedelta, _Reports]] = {}

    def set_reports(self, peer: str, reports: _Reports,
                    now: datetime.timedelta) -> None:
        """Replaces what a peer has reported."""
        self._reports[peer] = (now, reports)

    def forget_peer(self, peer: str) -> None:
        """Discards what a peer has reported."""
        self._reports.pop(peer, None)

    def list_services(self) -> set[str]:
        """Returns the names of the services of which peers have reported."""
        return {
            each.service
            for _, reports in self._reports.values()
            for each in reports
        }

    def combine(self, own: profile_report.ProfileReport,
                now: datetime.timedelta) -> engine_profile.EngineProfile:
        """Returns the profile from this VM's samples and the peers' reports.

        Args:
            own: What this VM has learned.
            now: Monotonic time.
        """
        known = [
            each for received_at, reports in self._reports.values()
            if now - received_at < _LIFETIME for each in reports
            if each.service == own.service
        ]
        if not known:
            return own.profile
        values: dict[str, float] = {}
        for names, get_weight in ((_STEPS, _get_step_weight),
                                  (_PREFILLS, _get_prefill_weight),
                                  (_OUTPUTS, _get_output_weight)):
            weighted = [(each, get_weight(each)) for each in known]
            weight = min(_MAX_WEIGHT, sum(each for _, each in weighted))
            own_weight = get_weight(own)
            if weight <= 0.0:
                continue
            for name in names:
                median = _find_median((getattr(each.profile, name), count)
                                      for each, count in weighted)
                own_value = getattr(own.profile, name)
                values[name] = ((own_weight * own_value + weight * median) /
                                (own_weight + weight))
        return dataclasses.replace(own.profile, **values)


def _get_step_weight(report: profile_report.ProfileReport) -> float:
    return report.step_weight


def _get_prefill_weight(report: profile_report.ProfileReport) -> float:
    return report.prefill_weight


def _get_output_weight(report: profile_report.ProfileReport) -> float:
    return report.output_weight


def _find_median(
        weighted: collections.abc.Iterable[tuple[float, float]]) -> float:
    """Returns the weighted median of pairs of a value and its weight."""
    ordered = sorted(weighted)
    half = sum(weight for _, weight in ordered) / 2
    for value, weight in ordered:
        half -= weight
        if half <= 0.0:
            return value
    return ordered[-1][0]
