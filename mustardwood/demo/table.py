"""The demo's table of results."""

import datetime
import math

from mustardwood.demo import outcome

_HEADINGS = ("class", "asked", "whole", "refused", "first token p50", "p95")
_WIDTHS = (16, 7, 7, 9, 17, 9)


def format_table(outcomes: tuple[outcome.Outcome, ...]) -> str:
    """Returns a line for each class, and the count of whole answers.

    Examples:
        >>> import datetime
        >>> second = datetime.timedelta(seconds=1)
        >>> whole = outcome.OutcomeKind.WHOLE
        >>> print(format_table((outcome.Outcome("tag", whole, second),)))
        class             asked  whole  refused  first token p50      p95
        tag                   1      1        0          1000 ms  1000 ms
        whole answers: 1 of 1
    """
    classes = list(dict.fromkeys(item.request_class for item in outcomes))
    rows = [_format_row(_HEADINGS)]
    for name in classes:
        of_class = [item for item in outcomes if item.request_class == name]
        rows.append(_format_row(_make_cells(name, of_class)))
    whole = _count(list(outcomes), outcome.OutcomeKind.WHOLE)
    rows.append(f"whole answers: {whole} of {len(outcomes)}")
    return "\n".join(rows)


def find_percentile(times: list[datetime.timedelta],
                    share: float) -> datetime.timedelta:
    """Returns the nearest-rank percentile.

    Args:
        times: The times, not empty.
        share: Share of the times that are at most the result, above 0.

    Examples:
        >>> import datetime
        >>> times = [datetime.timedelta(seconds=n) for n in (3, 1, 2)]
        >>> find_percentile(times, 0.5).total_seconds()
        2.0
    """
    rank = math.ceil(share * len(times))
    return sorted(times)[rank - 1]


def _make_cells(name: str, outcomes: list[outcome.Outcome]) -> tuple[str, ...]:
    whole = [
        item.first_token
        for item in outcomes
        if item.kind == outcome.OutcomeKind.WHOLE
    ]
    return (name, str(len(outcomes)), str(len(whole)),
            str(_count(outcomes, outcome.OutcomeKind.REFUSED)),
            _format_percentile(whole, 0.5), _format_percentile(whole, 0.95))


def _count(outcomes: list[outcome.Outcome], kind: outcome.OutcomeKind) -> int:
    return sum(item.kind == kind for item in outcomes)


def _format_percentile(times: list[datetime.timedelta], share: float) -> str:
    if not times:
        return "-"
    milliseconds = find_percentile(times,
                                   share) / datetime.timedelta(milliseconds=1)
    return f"{milliseconds:.0f} ms"


def _format_row(cells: tuple[str, ...]) -> str:
    first = cells[0].ljust(_WIDTHS[0])
    others = (cell.rjust(width) for cell, width in zip(cells[1:], _WIDTHS[1:]))
    return first + "".join(others)
