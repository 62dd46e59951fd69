"""Computation of the report on service-level burn."""

import collections
import collections.abc
import datetime

from mustardwood import configuration
from mustardwood.reports import alert
from mustardwood.reports import burn_report
from mustardwood.reports import burn_window
from mustardwood.reports import level_record
from mustardwood.reports import level_row
from mustardwood.reports import merging

WINDOW_MINUTES = {"5m": 5, "1h": 60, "6h": 360, "3d": 4320}
"""Windows of the report, in minutes."""

_HOUR_MINUTES = 60
_HOUR_SECONDS = 3600.0
_LONGEST_WINDOW = "3d"
_MILLISECONDS = 1000.0
_ROWS_LISTED = 20
_Rows = collections.abc.Sequence[level_row.LevelRow]


def compute_minute(time: datetime.datetime) -> int:
    """Returns the minutes since 1970 of a wall-clock time.

    Examples:
        >>> compute_minute(datetime.datetime(1970, 1, 1, 1, 2,
        ...                                  tzinfo=datetime.UTC))
        62
    """
    return int(time.timestamp() // 60)


def compute_report(
    document: configuration.Document,
    record: level_record.LevelRecord,
    now: datetime.datetime,
    *,
    unanswered: tuple[str, ...] = (),
    incomplete_minutes: dict[str, tuple[str, ...]] | None = None,
    storage_failed: bool = False,
) -> burn_report.BurnReport:
    """Computes the report.

    Args:
        document: The configuration in force.
        record: All counts of the last three days; older ones are ignored.
        now: Wall-clock time.
        unanswered: VMs that did not answer.
        incomplete_minutes: Minutes whose stored counts miss VMs.
        storage_failed: Whether stored counts could not be read.

    Returns:
        The report.
    """
    minute = compute_minute(now)
    hour = _select(record.rows, minute, _HOUR_MINUTES)
    return burn_report.BurnReport(
        made_at=now.isoformat(timespec="seconds"),
        classes=tuple(
            _compute_class(each, record, minute)
            for each in sorted(document.classes, key=lambda one: one.tier)),
        organisations=_compute_organisations(document, record, minute),
        wasted_tokens=_count_wasted(hour),
        useful_tokens=sum(row.useful_tokens for row in hour),
        refused=_count_refused(hour),
        endpoints=_rank_endpoints(hour),
        timeline=_build_timeline(hour),
        unanswered=unanswered,
        incomplete_minutes=incomplete_minutes or {},
        storage_failed=storage_failed)


def _select(rows: _Rows, minute: int, length: int) -> list[level_row.LevelRow]:
    return [row for row in rows if minute - length < row.minute <= minute]


def _compute_class(request_class: configuration.RequestClass,
                   record: level_record.LevelRecord,
                   minute: int) -> burn_report.GroupBurn:
    rows = [row for row in record.rows if row.class_name == request_class.name]
    histogram = merging.merge_encoded(
        one.encoded
        for one in record.histograms
        if (one.class_name == request_class.name and minute -
            _HOUR_MINUTES < one.minute <= minute))
    return _compute_group(
        request_class,
        "",
        rows,
        minute,
        first_token_p50=histogram.get_value_at_percentile(50) / _MILLISECONDS,
        first_token_p95=histogram.get_value_at_percentile(95) / _MILLISECONDS)


def _compute_organisations(document: configuration.Document,
                           record: level_record.LevelRecord,
                           minute: int) -> tuple[burn_report.GroupBurn, ...]:
    classes = {each.name: each for each in document.classes}
    groups: dict[tuple[str, str],
                 list[level_row.LevelRow]] = collections.defaultdict(list)
    for row in record.rows:
        if row.class_name in classes:
            groups[row.class_name, row.organisation].append(row)
    burns = [
        _compute_group(classes[class_name], organisation, rows, minute)
        for (class_name, organisation), rows in sorted(groups.items())
    ]
    return tuple(sorted(burns, key=lambda each: each.budget_left))


def _compute_group(request_class: configuration.RequestClass,
                   organisation: str,
                   rows: _Rows,
                   minute: int,
                   first_token_p50: float = 0.0,
                   first_token_p95: float = 0.0) -> burn_report.GroupBurn:
    windows = {
        name:
            _compute_window(name, length, rows, minute, request_class.objective)
        for name, length in WINDOW_MINUTES.items()
    }
    hour = _select(rows, minute, _HOUR_MINUTES)
    useful = sum(row.useful_tokens for row in hour)
    return burn_report.GroupBurn(class_name=request_class.name,
                                 organisation=organisation,
                                 objective=request_class.objective,
                                 windows=tuple(windows.values()),
                                 budget_left=1.0 -
                                 windows[_LONGEST_WINDOW].burn_rate,
                                 alert=alert.find_alert(windows),
                                 goodput=useful / _HOUR_SECONDS,
                                 first_token_p50=first_token_p50,
                                 first_token_p95=first_token_p95)


def _compute_window(name: str, length: int, rows: _Rows, minute: int,
                    objective: float) -> burn_window.BurnWindow:
    selected = _select(rows, minute, length)
    return burn_window.compute_window(name, sum(row.asked for row in selected),
                                      sum(row.met for row in selected),
                                      objective)


def _count_wasted(rows: _Rows) -> dict[str, int]:
    counts: collections.Counter[str] = collections.Counter()
    for row in rows:
        counts.update(row.wasted_tokens)
    return dict(counts.most_common())


def _count_refused(rows: _Rows) -> dict[str, int]:
    counts: collections.Counter[str] = collections.Counter()
    for row in rows:
        counts.update(row.refused)
    return dict(counts.most_common())


def _rank_endpoints(rows: _Rows) -> tuple[burn_report.EndpointCost, ...]:
    groups: dict[str, list[level_row.LevelRow]] = collections.defaultdict(list)
    for row in rows:
        if row.endpoint:
            groups[row.endpoint].append(row)
    costs = [
        burn_report.EndpointCost(endpoint=name,
                                 asked=sum(row.asked
                                           for row in group),
                                 missed=sum(row.asked - row.met
                                            for row in group),
                                 wasted_tokens=sum(
                                     sum(row.wasted_tokens.values())
                                     for row in group))
        for name, group in sorted(groups.items())
    ]
    costs.sort(key=lambda each: (-each.missed, -each.wasted_tokens))
    return tuple(costs[:_ROWS_LISTED])


def _build_timeline(rows: _Rows) -> tuple[burn_report.TimelinePoint, ...]:
    groups: dict[tuple[int, str],
                 list[level_row.LevelRow]] = collections.defaultdict(list)
    for row in rows:
        groups[row.minute, row.class_name].append(row)
    return tuple(
        burn_report.TimelinePoint(minute=minute,
                                  class_name=class_name,
                                  asked=sum(row.asked
                                            for row in group),
                                  met=sum(row.met
                                          for row in group),
                                  useful_tokens=sum(row.useful_tokens
                                                    for row in group),
                                  wasted_tokens=sum(
                                      sum(row.wasted_tokens.values())
                                      for row in group))
        for (minute, class_name), group in sorted(groups.items()))
