"""The text of the report on service-level burn."""

import collections

from mustardwood import reports
from mustardwood.cli import status_text

_PERCENT = 100.0
_ORGANISATIONS_LISTED = 10


def format_report(report: reports.BurnReport) -> str:
    """Formats a report as tables.

    Args:
        report: The report.

    Returns:
        Several lines of text, with what is missing named first.
    """
    parts = [
        f"Service-level burn at {report.made_at}",
        *(["\n".join(list_missing_data(report))]
          if list_missing_data(report) else []),
        "Classes\n" + _format_groups(report.classes, "class"),
        "Worst organisations\n" + _format_groups(
            report.organisations[:_ORGANISATIONS_LISTED], "organisation"),
        "Tokens of the last hour\n" + status_text.format_table(
            ("kind", "tokens"),
            [("useful", report.useful_tokens), *report.wasted_tokens.items()]),
    ]
    if report.refused:
        parts.append("Refusals of the last hour\n" + status_text.format_table(
            ("reason", "requests"), report.refused.items()))
    if report.endpoints:
        parts.append("Costliest endpoints of the last hour\n" +
                     status_text.format_table(
                         ("endpoint", "ended", "missed",
                          "wasted tokens"), [(each.endpoint, each.asked,
                                              each.missed, each.wasted_tokens)
                                             for each in report.endpoints]))
    return "\n\n".join(parts)


def list_missing_data(report: reports.BurnReport) -> list[str]:
    """Returns a line for each thing that the report lacks."""
    gaps = []
    if report.storage_failed:
        gaps.append("The platform's service could not be read: only the counts "
                    "of running VMs are here.")
    if report.unanswered:
        gaps.append("no answer from: " + ", ".join(report.unanswered))
    gaps.extend(_describe_incomplete("minute", report.incomplete_minutes))
    gaps.extend(_describe_incomplete("hour", report.incomplete_hours))
    return gaps


def _describe_incomplete(unit: str,
                         incomplete: dict[str, tuple[str, ...]]) -> list[str]:
    """Returns a line for each VM that stored counts miss."""
    starts: dict[str, list[str]] = collections.defaultdict(list)
    for start, vms in sorted(incomplete.items()):
        for vm in vms:
            starts[vm].append(start)
    return [
        f"stored counts miss {vm} in {len(found)} {unit}s, "
        f"from {found[0]} to {found[-1]}"
        for vm, found in sorted(starts.items())
    ]


def format_share(share: float) -> str:
    """Formats a share as a percentage.

    Examples:
        >>> format_share(0.951)
        '95.1%'
    """
    return f"{share * _PERCENT:.1f}%"


def describe_alert(group: reports.GroupBurn) -> str:
    """Returns an alert with its windows; a dash for none."""
    rule = group.alert
    if rule is None:
        return "-"
    return f"{rule.severity} ({rule.long_window}/{rule.short_window})"


def _format_groups(groups: tuple[reports.GroupBurn, ...], first: str) -> str:
    names = list(reports.WINDOW_MINUTES)
    header = (first, "objective", "attained 1h", "budget left",
              *(f"burn {name}" for name in names), "alert", "tokens/s",
              "first token p50/p95 s")
    rows = []
    for each in groups:
        windows = {window.name: window for window in each.windows}
        name = each.class_name
        if each.organisation:
            name = f"{each.organisation} ({each.class_name})"
        times = "-"
        if not each.organisation and windows["1h"].asked:
            times = f"{each.first_token_p50:.2f}/{each.first_token_p95:.2f}"
        asked = windows["1h"].asked
        rows.append((name, format_share(each.objective),
                     format_share(windows["1h"].attainment) if asked else "-",
                     format_share(each.budget_left),
                     *(f"{windows[one].burn_rate:.1f}" for one in names),
                     describe_alert(each), f"{each.goodput:.2f}", times))
    return status_text.format_table(header, rows)
