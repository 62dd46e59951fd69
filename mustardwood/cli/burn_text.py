"""The text form of the report on error-budget burn."""

import collections

from mustardwood import reports
from mustardwood.cli import status_text

_PERCENT = 100.0
_MAX_ORGANISATIONS = 10


def format_report(report: reports.BurnReport) -> str:
    """Formats a report as plain-text tables.

    Args:
        report: The report.

    Returns:
        Several lines of text. Data that is missing from the report is named
        before the tables.
    """
    parts = [
        f"Service-level burn at {report.made_at}",
        *(["\n".join(list_missing_data(report))]
          if list_missing_data(report) else []),
        "Classes\n" + _format_groups(report.classes, "class"),
        "Worst organisations\n" + _format_groups(
            report.organisations[:_MAX_ORGANISATIONS], "organisation"),
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
    """Returns messages about the data that is missing from the report.

    Returns:
        One line for each message; empty if the report is complete.
    """
    messages = []
    if report.storage_failed:
        messages.append(
            "The platform's service could not be read: only the counts "
            "of running VMs are here.")
    if report.unanswered:
        messages.append("no answer from: " + ", ".join(report.unanswered))
    messages.extend(
        _describe_incomplete_counts("minute", report.incomplete_minutes))
    messages.extend(_describe_incomplete_counts("hour",
                                                report.incomplete_hours))
    return messages


def _describe_incomplete_counts(
        unit: str, incomplete: dict[str, tuple[str, ...]]) -> list[str]:
    """Returns one line for each VM whose counts were not all stored.

    Args:
        unit: ``minute`` or ``hour``.
        incomplete: Names of the missing VMs by the start of each period.
    """
    start_times_by_vm: dict[str, list[str]] = collections.defaultdict(list)
    for start, vms in sorted(incomplete.items()):
        for vm in vms:
            start_times_by_vm[vm].append(start)
    return [
        f"stored counts miss {vm} in {len(vm_start_times)} {unit}s, "
        f"from {vm_start_times[0]} to {vm_start_times[-1]}"
        for vm, vm_start_times in sorted(start_times_by_vm.items())
    ]


def format_share(share: float) -> str:
    """Formats a fraction, of which 1 is the whole, as a percentage.

    Examples:
        >>> format_share(0.951)
        '95.1%'
    """
    return f"{share * _PERCENT:.1f}%"


def describe_alert(group: reports.GroupBurn) -> str:
    """Returns the severity and windows of a group's alert, or ``-``."""
    rule = group.alert
    if rule is None:
        return "-"
    return f"{rule.severity} ({rule.long_window}/{rule.short_window})"


def _format_groups(groups: tuple[reports.GroupBurn, ...],
                   first_column: str) -> str:
    window_names = list(reports.WINDOW_MINUTES)
    header = (first_column, "objective", "attained 1h", "budget left",
              *(f"burn {name}" for name in window_names), "alert", "tokens/s",
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
                     *(f"{windows[one].burn_rate:.1f}" for one in window_names),
                     describe_alert(each), f"{each.goodput:.2f}", times))
    return status_text.format_table(header, rows)
