"""Service level counters by minute."""

import collections.abc
import datetime

from hdrh import histogram as hdr

from mustardwood import reports
from mustardwood.routing import waste_cause

_RETAINED_MINUTES = 60
"""Number of minutes kept, the current one included."""

_RowKey = tuple[int, str, str, str]
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ServiceLevelRecorder:
    """Counts ended requests by minute, class, organisation and endpoint.

    Args:
        source: Name that is unique for each start of an entry.
        minute_seconds: Length of a minute in the reports, in seconds.
    """

    def __init__(self, source: str = "", minute_seconds: float = 60.0) -> None:
        self._source = source
        self._minute_seconds = minute_seconds
        self._rows: dict[_RowKey, reports.LevelRow] = {}
        self._endpoint_rows: dict[_RowKey, reports.LevelRow] = {}
        self._histograms: dict[tuple[int, str], hdr.HdrHistogram] = {}
        self._newest_minute = 0

    def compute_minute(self, time: datetime.datetime) -> int:
        """Returns the number of the minute that holds a wall-clock time."""
        return reports.compute_minute(time, self._minute_seconds)

    def add_row(self, row: reports.LevelRow) -> None:
        """Adds the counts of a request.

        Args:
            row: The counts, with minute, class, organisation and endpoint.
        """
        self._drop_expired(row.minute)
        _merge_row(self._rows, row,
                   (row.minute, row.class_name, row.organisation, ""))
        if row.endpoint:
            _merge_row(self._endpoint_rows, row,
                       (row.minute, "", "", row.endpoint))

    def add_waste(self, row: reports.LevelRow, cause: waste_cause.WasteCause,
                  tokens: int) -> None:
        """Counts generated tokens that were wasted.

        Args:
            row: Row that names the minute, class, organisation and endpoint.
            cause: Cause of the waste.
            tokens: Number of wasted tokens.
        """
        if tokens > 0:
            self.add_row(
                reports.LevelRow(row.minute,
                                 row.class_name,
                                 row.organisation,
                                 row.endpoint,
                                 wasted_tokens={cause.value: tokens}))

    def add_first_token(self, minute: int, class_name: str,
                        delay: datetime.timedelta) -> None:
        """Adds the time from a request's arrival to its first token."""
        self._drop_expired(minute)
        key = (minute, class_name)
        if key not in self._histograms:
            self._histograms[key] = reports.make_histogram()
        self._histograms[key].record_value(
            min(max(delay // _MILLISECOND, reports.LOWEST_MILLISECONDS),
                reports.HIGHEST_MILLISECONDS))

    def make_record(self, vm: str,
                    wanted: reports.MinuteRange | None) -> reports.LevelRecord:
        """Returns the counts of a range of minutes.

        Args:
            vm: Name of the entry's VM.
            wanted: Range of minutes; None for all that are kept.
        """

        def is_wanted(minute: int) -> bool:
            return wanted is None or wanted.contains(minute)

        histograms = [(key, self._histograms[key])
                      for key in sorted(self._histograms)
                      if is_wanted(key[0])]
        return reports.LevelRecord(
            rows=_list_rows(self._rows, is_wanted),
            endpoint_rows=_list_rows(self._endpoint_rows, is_wanted),
            histograms=tuple(
                reports.LevelHistogram(*key, reports.encode_histogram(
                    histogram)) for key, histogram in histograms),
            vms=(vm,),
            source=self._source)

    def _drop_expired(self, minute: int) -> None:
        if minute <= self._newest_minute:
            return
        self._newest_minute = minute
        oldest = minute - _RETAINED_MINUTES
        self._rows = _select_after(self._rows, oldest)
        self._endpoint_rows = _select_after(self._endpoint_rows, oldest)
        self._histograms = {
            key: histogram
            for key, histogram in self._histograms.items()
            if key[0] > oldest
        }


def _merge_row(table: dict[_RowKey, reports.LevelRow], row: reports.LevelRow,
               key: _RowKey) -> None:
    existing = table.get(key)
    table[key] = reports.add_rows(key, (row,) if existing is None else
                                  (existing, row))


def _select_after(table: dict[_RowKey, reports.LevelRow],
                  oldest: int) -> dict[_RowKey, reports.LevelRow]:
    return {key: row for key, row in table.items() if key[0] > oldest}


def _list_rows(
    table: dict[_RowKey,
                reports.LevelRow], is_wanted: collections.abc.Callable[[int],
                                                                       bool]
) -> tuple[reports.LevelRow, ...]:
    return tuple(table[key] for key in sorted(table) if is_wanted(key[0]))
