"""Computation of the fleet's report on error-budget burn."""

import datetime

from twisted.internet import defer

from mustardwood import configuration
from mustardwood import errors
from mustardwood import reports
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import burn_store
from mustardwood.agent import fleet_counts_reader

_MINUTES_PER_HOUR = 60
_REPORT_HOURS = 72
_MAX_RANGE_MINUTES = 15
"""Maximum number of minutes per query, which bounds the answer's size."""

_log = runtime.make_logger("burn")
_Records = dict[int, reports.LevelRecord]


class BurnReporter:
    """Computes the report from stored counts and those that VMs still hold.

    Args:
        minute_seconds: Length of a minute of the report, in seconds.
        clock: Source of wall-clock time.
        store: Stored records.
        counts_reader: Reads the counts that the VMs hold.
    """

    def __init__(self, minute_seconds: float, clock: timing.Clock,
                 store: burn_store.BurnStore,
                 counts_reader: fleet_counts_reader.FleetCountsReader) -> None:
        self._minute_seconds = minute_seconds
        self._clock = clock
        self._store = store
        self._counts_reader = counts_reader

    async def make_report(
            self, document: configuration.Document) -> reports.BurnReport:
        """Returns the report as of the current time.

        If the stored records can't be read, the report covers only the counts
        that the VMs hold, and its field ``storage_failed`` is true.

        Args:
            document: The configuration in force.
        """
        now = self._clock.now()
        current_minute = reports.compute_minute(now, self._minute_seconds)
        minutes: _Records = {}
        hours: _Records = {}
        failed = False
        try:
            minutes, hours = await self._read_stored(current_minute)
        except errors.KeyValueError as error:
            _log.warning(
                "stored service-level counts could not be read; the report has "
                "only the counts of running VMs: %s", error)
            failed = True
        live = await self._read_live_counts(current_minute, minutes)
        unanswered = {vm for each in live for vm in each.missing}
        return reports.compute_report(
            document,
            reports.merge_records([*minutes.values(), *live]),
            now,
            hours=reports.merge_records(hours.values(), _MINUTES_PER_HOUR),
            minute_seconds=self._minute_seconds,
            unanswered=tuple(sorted(unanswered)),
            incomplete_minutes=self._list_missing_vms(minutes, 1),
            incomplete_hours=self._list_missing_vms(hours, _MINUTES_PER_HOUR),
            storage_failed=failed)

    async def _read_stored(self,
                           current_minute: int) -> tuple[_Records, _Records]:
        hour = current_minute // _MINUTES_PER_HOUR
        hours = await self._store.read_hours(range(hour - _REPORT_HOURS, hour))
        first = current_minute - _MINUTES_PER_HOUR + 1
        if hour - 1 not in hours:
            first = (hour - 1) * _MINUTES_PER_HOUR
        return await self._store.read_minutes(range(first,
                                                    current_minute)), hours

    async def _read_live_counts(self, current_minute: int,
                                stored: _Records) -> list[reports.LevelRecord]:
        missing_minutes = [
            minute for minute in range(current_minute - _MINUTES_PER_HOUR +
                                       1, current_minute + 1)
            if minute not in stored
        ]
        pending = [
            defer.ensureDeferred(self._counts_reader.read_counts(each))
            for each in split_ranges(missing_minutes)
        ]
        return [await each for each in pending]

    def _list_missing_vms(self, records: _Records,
                          length: int) -> dict[str, tuple[str, ...]]:
        return {
            self._format_start(number * length): record.missing
            for number, record in sorted(records.items())
            if record.missing
        }

    def _format_start(self, minute: int) -> str:
        start = datetime.datetime.fromtimestamp(minute * self._minute_seconds,
                                                datetime.UTC)
        return start.isoformat(timespec="seconds")


def split_ranges(minutes: list[int]) -> list[reports.MinuteRange]:
    """Groups adjacent minutes into ranges of at most `_MAX_RANGE_MINUTES`.

    Args:
        minutes: Minutes in ascending order.

    Examples:
        >>> [each.format() for each in split_ranges([1, 2, 5])]
        ['1-2', '5-5']
    """
    ranges: list[reports.MinuteRange] = []
    for minute in minutes:
        last = ranges[-1] if ranges else None
        if (last is not None and last.last + 1 == minute and
                minute - last.first < _MAX_RANGE_MINUTES):
            ranges[-1] = reports.MinuteRange(last.first, minute)
        else:
            ranges.append(reports.MinuteRange(minute, minute))
    return ranges
