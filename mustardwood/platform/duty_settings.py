"""The settings of the duties that one VM at a time carries out."""

import dataclasses
import datetime

from mustardwood.platform import settings as settings_module

USAGE_REPORT = "usage_report"
"""Duty to report the usage of each window."""
AUTOSCALE = "autoscale"
"""Duty to order endpoints."""
KNOWN_DUTIES = frozenset({USAGE_REPORT, AUTOSCALE})
"""The duties that this version can carry out."""


@dataclasses.dataclass(frozen=True)
class DutySettings:
    """The settings of the duties.

    Attributes:
        duties: The known duties that the settings name.
        unknown_duties: The others that they name.
        address: IP address and port of the platform's API.
        duty_rate: Duty calls per second that the API accepts from all VMs.
        is_fencing_enforced: Whether the API checks the tokens of calls.
        lease_time: Time within which no VM may act, then another, then the
            first one again.
        thaw_time: Time after a suspension in which late calls are excused.
        report_window: Length of a window of the usage report.
        usage_error: Largest relative error of a reported number.
        usage_delay: Time after a window's end at which its usage is due.
        max_skew: Largest difference between the clocks of two VMs.
    """

    duties: frozenset[str]
    unknown_duties: tuple[str, ...]
    address: tuple[str, int]
    duty_rate: float
    is_fencing_enforced: bool
    lease_time: datetime.timedelta
    thaw_time: datetime.timedelta
    report_window: datetime.timedelta
    usage_error: float
    usage_delay: datetime.timedelta
    max_skew: datetime.timedelta

    @classmethod
    def from_settings(
            cls,
            found: settings_module.PlatformSettings) -> "DutySettings | None":
        """Returns the settings of the duties; None if no duty is named.

        Args:
            found: The settings, which `read_settings` has checked.
        """
        api = found.cloud_api
        if api is None or not api.duties:
            return None
        bounds = found.bounds
        return cls(
            duties=frozenset(api.duties) & KNOWN_DUTIES,
            unknown_duties=tuple(each for each in dict.fromkeys(api.duties)
                                 if each not in KNOWN_DUTIES),
            address=settings_module.parse_address(api.address),
            duty_rate=api.duty_per_s,
            is_fencing_enforced=bounds.fencing_enforced,
            lease_time=datetime.timedelta(milliseconds=bounds.lease_ms),
            thaw_time=datetime.timedelta(milliseconds=bounds.thaw_ms),
            report_window=datetime.timedelta(
                seconds=bounds.report_window_seconds),
            usage_error=bounds.usage_error,
            usage_delay=datetime.timedelta(seconds=bounds.usage_delay_seconds),
            max_skew=datetime.timedelta(milliseconds=bounds.max_skew_ms))
