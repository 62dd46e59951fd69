"""The choice of minutes out of a record."""

import collections.abc

import msgspec

from mustardwood.reports import level_record
from mustardwood.reports import minute_range


def filter_by_range(
        record: level_record.LevelRecord,
        wanted_range: minute_range.MinuteRange | None
) -> level_record.LevelRecord:
    """Returns the counts of a range of minutes; of all for None."""
    if wanted_range is None:
        return record
    return filter_minutes(record, wanted_range.contains)


def filter_minutes(
    record: level_record.LevelRecord,
    is_wanted: collections.abc.Callable[[int],
                                        bool]) -> level_record.LevelRecord:
    """Returns the counts of the minutes that are wanted."""
    return msgspec.structs.replace(
        record,
        rows=tuple(row for row in record.rows if is_wanted(row.minute)),
        endpoint_rows=tuple(
            row for row in record.endpoint_rows if is_wanted(row.minute)),
        histograms=tuple(histogram for histogram in record.histograms
                         if is_wanted(histogram.minute)))
