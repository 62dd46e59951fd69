"""Computation of the report on error-budget burn."""

import collections
import collections.abc
import datetime

import msgspec

from mustardwood import configuration
from mustardwood.reports import alert
from mustardwood.reports import burn_report
from mustardwood.reports import burn_window
from mustardwood.reports import level_record
from mustardwood.reports import level_row
from mustardwood.reports import merging

WINDOW_MINUTES = {"5m": 5, "1h": 60, "6h": 360, "3d": 4320}
"""Length of each window of the report by its name, in minutes."""

_MINUTES_PER_HOUR = 60
_LONGEST_WINDOW = "3d"
_MILLISECONDS_PER_SECOND = 1000.0
_MAX_ENDPOINTS = 20
_Rows = collections.abc.Sequence[level_row.LevelRow]


class _Counts(msgspec.Struct, frozen=True):
    """Counts of a group of requests.

    Attributes:
        minutes: Counts by minute, for windows of up to one hour.
        long_rows: Counts for longer windows: by hour, and by minute where no
            record of the hour is stored.
        minute: The current minute, in minutes since 1970.
        hour_seconds: Length of an hour of the report, in seconds.
    """

    minutes: _Rows
    long_rows: _Rows
    minute: int
    hour_seconds: float

    def filter_rows(
        self, is_wanted: collections.abc.Callable[[level_row.LevelRow], bool]
    ) -> "_Counts":
        """Returns the counts of the rows for which `is_wanted` is true."""
        return msgspec.structs.replace(
            self,
            minutes=[row for row in self.minutes if is_wanted(row)],
            long_rows=[row for row in self.long_rows if is_wanted(row)])


def compute_minute(time: datetime.datetime,
                   minute_seconds: float = 60.0) -> int:
    """Returns the number of report minutes from 1970 to a wall-clock time.

    Args:
        time: Wall-clock time.
        minute_seconds: Length of a minute of the report, in seconds; see
            `Settings`.

    Examples:
        >>> compute_minute(datetime.datetime(1970, 1, 1, 1, 2,
        ...                                  tzinfo=datetime.UTC))
        62
    """
    return int(time.timestamp() // minute_seconds)


def compute_report(
    document: configuration.Document,
    record: level_record.LevelRecord,
    now: datetime.datetime,
    *,
    hours: level_record.LevelRecord | None = None,
    minute_seconds: float = 60.0,
    unanswered: tuple[str, ...] = (),
    incomplete_minutes: dict[str, tuple[str, ...]] | None = None,
    incomplete_hours: dict[str, tuple[str, ...]] | None = None,
    storage_failed: bool = False,
) -> burn_report.BurnReport:
    """Computes the report.

    Args:
        document: The configuration in force.
        record: Counts by minute, at least of the last hour.
        now: Current wall-clock time.
        hours: Counts by hour of the preceding hours. A minute that belongs to
            one of these hours is counted only in windows of up to one hour.
        minute_seconds: Length of a minute of the report, in seconds.
        unanswered: Names of the VMs that did not answer.
        incomplete_minutes: Names of the VMs that are missing from a stored
            minute, by the minute's start.
        incomplete_hours: The same by the hour's start.
        storage_failed: Whether the stored counts could not be read.

    Returns:
        The report.
    """
    minute = compute_minute(now, minute_seconds)
    hour = _select_rows(record.rows, minute, _MINUTES_PER_HOUR)
    counts = _Counts(record.rows, _combine_rows(record, hours), minute,
                     _MINUTES_PER_HOUR * minute_seconds)
    return burn_report.BurnReport(
        made_at=now.isoformat(timespec="seconds"),
        classes=tuple(
            _compute_class(each, record, counts)
            for each in sorted(document.classes, key=lambda one: one.tier)),
        organisations=_compute_organisations(document, counts),
        wasted_tokens=_count_wasted(hour),
        useful_tokens=sum(row.useful_tokens for row in hour),
        refused=_count_refused(hour),
        endpoints=_rank_endpoints(
            _select_rows(record.endpoint_rows, minute, _MINUTES_PER_HOUR)),
        timeline=_build_timeline(hour),
        unanswered=unanswered,
        incomplete_minutes=incomplete_minutes or {},
        incomplete_hours=incomplete_hours or {},
        storage_failed=storage_failed)


def _select_rows(rows: _Rows, minute: int,
                 length: int) -> list[level_row.LevelRow]:
    return [row for row in rows if minute - length < row.minute <= minute]


def _combine_rows(record: level_record.LevelRecord,
                  hours: level_record.LevelRecord | None) -> _Rows:
    """Returns counts by hour where available, else by minute.

    No request is counted twice.
    """
    if hours is None:
        return record.rows
    covered = {row.minute // _MINUTES_PER_HOUR for row in hours.rows}
    return hours.rows + tuple(row for row in record.rows
                              if row.minute // _MINUTES_PER_HOUR not in covered)


def _compute_class(request_class: configuration.RequestClass,
                   record: level_record.LevelRecord,
                   counts: _Counts) -> burn_report.GroupBurn:
    histogram = merging.merge_encoded_histograms(
        one.encoded
        for one in record.histograms
        if (one.class_name == request_class.name and counts.minute -
            _MINUTES_PER_HOUR < one.minute <= counts.minute))
    return _compute_group(
        request_class,
        "",
        counts.filter_rows(lambda row: row.class_name == request_class.name),
        first_token_p50=histogram.get_value_at_percentile(50) /
        _MILLISECONDS_PER_SECOND,
        first_token_p95=histogram.get_value_at_percentile(95) /
        _MILLISECONDS_PER_SECOND)


def _compute_organisations(
        document: configuration.Document,
        counts: _Counts) -> tuple[burn_report.GroupBurn, ...]:
    classes = {each.name: each for each in document.classes}
    minutes = _group_rows(counts.minutes)
    long_rows = _group_rows(counts.long_rows)
    burns = [
        _compute_group(
            classes[key[0]], key[1],
            msgspec.structs.replace(counts,
                                    minutes=minutes[key],
                                    long_rows=long_rows[key]))
        for key in sorted(minutes.keys() | long_rows.keys())
        if key[0] in classes
    ]
    return tuple(sorted(burns, key=lambda each: each.budget_left))


def _group_rows(rows: _Rows) -> dict[tuple[str, str], list[level_row.LevelRow]]:
    groups: dict[tuple[str, str],
                 list[level_row.LevelRow]] = collections.defaultdict(list)
    for row in rows:
        groups[row.class_name, row.organisation].append(row)
    return groups


def _compute_group(request_class: configuration.RequestClass,
                   organisation: str,
                   counts: _Counts,
                   first_token_p50: float = 0.0,
                   first_token_p95: float = 0.0) -> burn_report.GroupBurn:
    windows = {
        name: _compute_window(name, length, counts, request_class.objective)
        for name, length in WINDOW_MINUTES.items()
    }
    hour = _select_rows(counts.minutes, counts.minute, _MINUTES_PER_HOUR)
    useful = sum(row.useful_tokens for row in hour)
    return burn_report.GroupBurn(class_name=request_class.name,
                                 organisation=organisation,
                                 objective=request_class.objective,
                                 windows=tuple(windows.values()),
                                 budget_left=1.0 -
                                 windows[_LONGEST_WINDOW].burn_rate,
                                 alert=alert.find_alert(windows),
                                 goodput=useful / counts.hour_seconds,
                                 first_token_p50=first_token_p50,
                                 first_token_p95=first_token_p95)


def _compute_window(name: str, length: int, counts: _Counts,
                    objective: float) -> burn_window.BurnWindow:
    rows = counts.minutes if length <= _MINUTES_PER_HOUR else counts.long_rows
    selected = _select_rows(rows, counts.minute, length)
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
    return tuple(costs[:_MAX_ENDPOINTS])


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
