"""Alerts on the burn of an error budget."""

import collections.abc

import msgspec

from mustardwood.reports import burn_window


class AlertRule(msgspec.Struct, frozen=True):
    """A pair of windows that must both burn too fast [1]_.

    Attributes:
        severity: ``page`` for a person now, ``ticket`` for the working day.
        long_window: Name of the long window.
        short_window: Name of the short window, which ends the alert soon
            after the cause has ended.
        burn_rate: Lowest burn rate of both.

    References:
        .. [1] B. Beyer et al., "The Site Reliability Workbook", chapter 5,
           O'Reilly, 2018.
    """

    severity: str
    long_window: str
    short_window: str
    burn_rate: float


ALERT_RULES = (
    AlertRule("page", "1h", "5m", 14.4),
    AlertRule("page", "6h", "1h", 6.0),
    AlertRule("ticket", "3d", "6h", 1.0),
)
"""Rules, the most severe first."""


def find_alert(
    windows: collections.abc.Mapping[str, burn_window.BurnWindow]
) -> AlertRule | None:
    """Finds the most severe rule that the windows fulfil.

    Args:
        windows: Windows by name.

    Returns:
        The rule; None when there is no alert.
    """
    for rule in ALERT_RULES:
        pair = (windows[rule.long_window], windows[rule.short_window])
        if all(each.burn_rate >= rule.burn_rate for each in pair):
            return rule
    return None
