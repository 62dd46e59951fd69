"""Alerts on the burn of an error budget."""

import collections.abc

import msgspec

from mustardwood.reports import burn_window


class AlertRule(msgspec.Struct, frozen=True):
    """A threshold that the burn rates of two windows must both reach [1]_.

    Attributes:
        severity: ``page`` to call an engineer at once, ``ticket`` for work
            during office hours.
        long_window: Name of the long window.
        short_window: Name of the short window; it ends the alert soon after
            its cause has ended.
        burn_rate: Minimum burn rate of both windows.

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
"""The rules, most severe first."""


def find_alert(
    windows: collections.abc.Mapping[str, burn_window.BurnWindow]
) -> AlertRule | None:
    """Finds the most severe rule whose threshold is reached.

    Args:
        windows: Windows by name.

    Returns:
        The rule; None if there is no alert.
    """
    for rule in ALERT_RULES:
        pair = (windows[rule.long_window], windows[rule.short_window])
        if all(each.burn_rate >= rule.burn_rate for each in pair):
            return rule
    return None
