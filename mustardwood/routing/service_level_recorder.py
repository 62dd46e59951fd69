"""Counters of service levels by minute."""

import collections.abc
import datetime

from hdrh import histogram as hdr

from mustardwood import reports
from mustardwood.routing import waste_cause

_MINUTES_KEPT = 60
"""Number of minutes kept, the present one included."""

_Key = tuple[int, str, str, str]
_MILLISECOND = datetime.timedelta(milliseconds=1)


class ServiceLevelRecorder:
    """Counts ended requests by minute and class.

    Args:
        source: Name that is unique for each start of an entry.
        minute_seconds: Length of a minute of the report, in seconds.
    """

    def __init__(self, source: str = "", minute_seconds: float = 60.0) -> None:
        self._source = source
        self._minute_seconds = minute_seconds
        self._rows: dict[_Key, reports.LevelRow] = {}
        self._endpoint_rows: dict[_Key, reports.LevelRow] = {}
        self._histograms: dict[tuple[int, str], hdr.HdrHistogram] = {}
        self._newest = 0

    def compute_minute(self, time: datetime.datetime) -> int:
        """Returns the minute of a wall-clock time."""
        return reports.compute_minute(time, self._minute_seconds)

    def add(self, row: reports.LevelRow) -> None:
        """Adds the counts of a request.

        Args:
            row: Its counts, with class, organisation and endpoint.
        """
        self._drop_old(row.minute)
        _add(self._rows, row,
             (row.minute, row.class_name, row.organisation, ""))
        if row.endpoint:
            _add(self._endpoint_rows, row, (row.minute, "", "", row.endpoint))

    def add_waste(self, row: reports.LevelRow, cause: waste_cause.WasteCause,
                  tokens: int) -> None:
        """Counts tokens that were generated in vain.

        Args:
            row: Minute, class, organisation and endpoint.
            cause: Why they were in vain.
            tokens: How many.
        """
        if tokens > 0:
            self.add(
                reports.LevelRow(row.minute,
                                 row.class_name,
                                 row.organisation,
                                 row.endpoint,
                                 wasted_tokens={cause.value: tokens}))

    def add_first_token(self, minute: int, class_name: str,
                        delay: datetime.timedelta) -> None:
        """Counts the time from a request's arrival to its first token."""
        self._drop_old(minute)
        key = (minute, class_name)
        if key not in self._histograms:
            self._histograms[key] = reports.make_histogram()
        self._histograms[key].record_value(
            min(max(delay // _MILLISECOND, reports.LOWEST_MILLISECONDS),
                reports.HIGHEST_MILLISECONDS))

    def make_record(self, vm: str,
                    wanted: reports.MinuteRange | None) -> reports.LevelRecord:
        """Returns the counts of some minutes.

        Args:
            vm: Name of this VM.
            wanted: The minutes; None for all that are kept.
        """

        def is_wanted(minute: int) -> bool:
            return wanted is None or wanted.holds(minute)

        histograms = [(key, self._histograms[key])
                      for key in sorted(self._histograms)
                      if is_wanted(key[0])]
        return reports.LevelRecord(
            rows=_list_rows(self._rows, is_wanted),
            endpoint_rows=_list_rows(self._endpoint_rows, is_wanted),
            histograms=tuple(
                reports.LevelHistogram(*key, reports.encode_histogram(one))
                for key, one in histograms),
            vms=(vm,),
            source=self._source)

    def _drop_old(self, minute: int) -> None:
        if minute <= self._newest:
            return
        self._newest = minute
        oldest = minute - _MINUTES_KEPT
        self._rows = _keep_after(self._rows, oldest)
        self._endpoint_rows = _keep_after(self._endpoint_rows, oldest)
        self._histograms = {
            key: one for key, one in self._histograms.items() if key[0] > oldest
        }


def _add(table: dict[_Key, reports.LevelRow], row: reports.LevelRow,
         key: _Key) -> None:
    held = table.get(key)
    table[key] = reports.add_rows(key, (row,) if held is None else (held, row))


def _keep_after(table: dict[_Key, reports.LevelRow],
                oldest: int) -> dict[_Key, reports.LevelRow]:
    return {key: row for key, row in table.items() if key[0] > oldest}


def _list_rows(
    table: dict[_Key,
                reports.LevelRow], is_wanted: collections.abc.Callable[[int],
                                                                       bool]
) -> tuple[reports.LevelRow, ...]:
    return tuple(table[key] for key in sorted(table) if is_wanted(key[0]))
