"""The HTML page of the report on error-budget burn."""

import collections.abc
import html
import typing

from mustardwood import reports
from mustardwood.cli import burn_plots
from mustardwood.cli import burn_text

_MAX_ORGANISATIONS = 20
_STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; color: #1d2329; margin: 2rem auto;
       max-width: 68rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
.time { color: #5c6670; margin-top: .2rem; }
table { border-collapse: collapse; width: 100%; font-size: .9rem; }
th { text-align: left; color: #5c6670; font-weight: 600; }
th, td { padding: .3rem .6rem .3rem 0; border-bottom: 1px solid #e3e6e9; }
td:last-child, th:last-child { padding-left: 1rem; }
table.narrow { width: auto; min-width: 24rem; }
td.n, th.n { text-align: right; font-variant-numeric: tabular-nums; }
.gap { background: #fdf3e1; border-left: 4px solid #c2571a; margin: .4rem 0;
       padding: .4rem .8rem; }
.page { color: #b3261e; font-weight: 600; }
.ticket { color: #a8600c; font-weight: 600; }
svg { width: 100%; height: auto; }
"""
_Cells = collections.abc.Sequence[str]


def format_page(report: reports.BurnReport) -> str:
    """Formats a report as a self-contained HTML page.

    The page loads no other files; styles and plots are inline.

    Args:
        report: The report.

    Returns:
        The HTML, with all names from the report escaped.
    """
    tokens = [("useful", report.useful_tokens), *report.wasted_tokens.items()]
    parts = [
        "<!DOCTYPE html><html lang='en'><head><meta charset='utf-8'>",
        "<title>Service-level burn</title>",
        f"<style>{_STYLE}</style></head><body>",
        "<h1>Service-level burn</h1>",
        f"<p class='time'>{_escape(report.made_at)}</p>",
        *(f"<p class='gap'>{_escape(each)}</p>"
          for each in burn_text.list_missing_data(report)),
        "<h2>Classes</h2>",
        _format_groups("class", report.classes),
        "<h2>Attainment by minute</h2>",
        burn_plots.plot_attainment(report),
        "<h2>Tokens by minute</h2>",
        burn_plots.plot_tokens(report) if report.timeline else "",
        "<h2>Tokens of the last hour</h2>",
        _format_table(("kind", "tokens"), tokens),
        "<h2>Refusals of the last hour</h2>",
        _format_table(("reason", "requests"), report.refused.items()),
        "<h2>Costliest endpoints of the last hour</h2>",
        _format_table(
            ("endpoint", "ended", "missed", "wasted tokens"),
            [(each.endpoint, each.asked, each.missed, each.wasted_tokens)
             for each in report.endpoints]),
        "<h2>Worst organisations</h2>",
        _format_groups("organisation",
                       report.organisations[:_MAX_ORGANISATIONS]),
        "</body></html>",
    ]
    return "\n".join(parts)


def _format_groups(first_column: str, groups: tuple[reports.GroupBurn,
                                                    ...]) -> str:
    window_names = list(reports.WINDOW_MINUTES)
    header = (first_column, "objective", "attained 1h", "budget left",
              *(f"burn {name}" for name in window_names), "tokens/s", "alert")
    rows = [_format_group_cells(each, window_names) for each in groups]
    return _build_table(header, rows, len(header) - 1)


def _format_group_cells(group: reports.GroupBurn,
                        window_names: list[str]) -> list[str]:
    windows = {window.name: window for window in group.windows}
    name = group.class_name
    if group.organisation:
        name = f"{group.organisation} ({group.class_name})"
    attained = "–"
    if windows["1h"].asked:
        attained = burn_text.format_share(windows["1h"].attainment)
    severity = group.alert.severity if group.alert else ""
    return [
        _escape(name),
        burn_text.format_share(group.objective), attained,
        burn_text.format_share(group.budget_left),
        *(f"{windows[one].burn_rate:.1f}" for one in window_names),
        f"{group.goodput:.2f}", f"<span class='{_escape(severity)}'>"
        f"{_escape(burn_text.describe_alert(group))}</span>"
    ]


def _format_table(header: _Cells,
                  rows: collections.abc.Iterable[typing.Any]) -> str:
    escaped = [[_escape(cell) for cell in row] for row in rows]
    if not escaped:
        return "<p>None.</p>"
    return _build_table(header, escaped, len(header), "narrow")


def _build_table(header: _Cells,
                 rows: list[list[str]],
                 numeric_end: int,
                 style: str = "") -> str:

    def join_cells(tag: str, cells: _Cells) -> str:
        return "".join(
            f"<{tag}{_format_class(index, numeric_end)}>{cell}</{tag}>"
            for index, cell in enumerate(cells))

    lines = [f"<tr>{join_cells('th', header)}</tr>"]
    lines.extend(f"<tr>{join_cells('td', row)}</tr>" for row in rows)
    return f"<table class='{style}'>{''.join(lines)}</table>"


def _format_class(index: int, numeric_end: int) -> str:
    return " class='n'" if 0 < index < numeric_end else ""


def _escape(value: typing.Any) -> str:
    return html.escape(str(value))
