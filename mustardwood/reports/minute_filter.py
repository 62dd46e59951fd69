"""Selection of minutes from a record of service-level counts."""

import collections.abc

import msgspec

from mustardwood.reports import level_record
from mustardwood.reports import minute_range


def filter_by_range(
        record: level_record.LevelRecord,
        wanted_range: minute_range.MinuteRange | None
) -> level_record.LevelRecord:
    """Returns the counts of a range of minutes, or all if the range is None."""
    if wanted_range is None:
        return record
    return filter_minutes(record, wanted_range.contains)


def filter_minutes(
    record: level_record.LevelRecord,
    is_wanted: collections.abc.Callable[[int],
                                        bool]) -> level_record.LevelRecord:
    """Returns the counts of the minutes for which `is_wanted` is true."""
    return msgspec.structs.replace(
        record,
        rows=tuple(row for row in record.rows if is_wanted(row.minute)),
        endpoint_rows=tuple(
            row for row in record.endpoint_rows if is_wanted(row.minute)),
        histograms=tuple(histogram for histogram in record.histograms
                         if is_wanted(histogram.minute)))
