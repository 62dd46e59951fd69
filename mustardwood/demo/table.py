"""The table of the demo's results."""

import datetime
import math

from mustardwood.demo import outcome

_HEADINGS = ("class", "asked", "whole", "refused", "first token p50", "p95")
_COLUMN_WIDTHS = (16, 7, 7, 9, 17, 9)


def format_table(outcomes: tuple[outcome.Outcome, ...]) -> str:
    """Formats a row for each class, and the total of whole answers.

    Examples:
        >>> import datetime
        >>> second = datetime.timedelta(seconds=1)
        >>> whole = outcome.OutcomeKind.WHOLE
        >>> print(format_table((outcome.Outcome("tag", whole, second),)))
        class             asked  whole  refused  first token p50      p95
        tag                   1      1        0          1000 ms  1000 ms
        whole answers: 1 of 1
    """
    classes = list(dict.fromkeys(each.request_class for each in outcomes))
    rows = [_format_row(_HEADINGS)]
    for name in classes:
        class_outcomes = [
            each for each in outcomes if each.request_class == name
        ]
        rows.append(_format_row(_make_cells(name, class_outcomes)))
    whole_count = _count(list(outcomes), outcome.OutcomeKind.WHOLE)
    rows.append(f"whole answers: {whole_count} of {len(outcomes)}")
    return "\n".join(rows)


def compute_percentile(times: list[datetime.timedelta],
                       share: float) -> datetime.timedelta:
    """Computes a percentile by the nearest-rank method.

    Args:
        times: The times; at least one.
        share: The percentile as a share, above 0 and at most 1.

    Examples:
        >>> import datetime
        >>> times = [datetime.timedelta(seconds=n) for n in (3, 1, 2)]
        >>> compute_percentile(times, 0.5).total_seconds()
        2.0
    """
    rank = math.ceil(share * len(times))
    return sorted(times)[rank - 1]


def _make_cells(name: str, outcomes: list[outcome.Outcome]) -> tuple[str, ...]:
    first_token_times = [
        each.first_token
        for each in outcomes
        if each.kind == outcome.OutcomeKind.WHOLE
    ]
    return (name, str(len(outcomes)), str(len(first_token_times)),
            str(_count(outcomes, outcome.OutcomeKind.REFUSED)),
            _format_percentile(first_token_times,
                               0.5), _format_percentile(first_token_times,
                                                        0.95))


def _count(outcomes: list[outcome.Outcome], kind: outcome.OutcomeKind) -> int:
    return sum(each.kind == kind for each in outcomes)


def _format_percentile(times: list[datetime.timedelta], share: float) -> str:
    if not times:
        return "-"
    milliseconds = compute_percentile(
        times, share) / datetime.timedelta(milliseconds=1)
    return f"{milliseconds:.0f} ms"


def _format_row(cells: tuple[str, ...]) -> str:
    first_cell = cells[0].ljust(_COLUMN_WIDTHS[0])
    other_cells = (
        cell.rjust(width) for cell, width in zip(cells[1:], _COLUMN_WIDTHS[1:]))
    return first_cell + "".join(other_cells)
