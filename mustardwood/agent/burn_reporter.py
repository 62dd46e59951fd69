"""The report on service-level burn of the whole fleet."""

import datetime

from twisted.internet import defer

from mustardwood import configuration
from mustardwood import errors
from mustardwood import reports
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import burn_store
from mustardwood.agent import fleet_counts_reader

_HOUR_MINUTES = 60
_HOURS = 72
_RANGE_MINUTES = 15
"""Most minutes that one question asks for, to bound the answer's size."""

_log = runtime.make_logger("burn")
_Records = dict[int, reports.LevelRecord]


class BurnReporter:
    """Puts stored counts and those of running VMs together."""

    def __init__(self, minute_seconds: float, clock: timing.Clock,
                 store: burn_store.BurnStore,
                 gatherer: fleet_counts_reader.FleetCountsReader) -> None:
        self._minute_seconds = minute_seconds
        self._clock = clock
        self._store = store
        self._gatherer = gatherer

    async def make_report(
            self, document: configuration.Document) -> reports.BurnReport:
        """Returns the report of now."""
        now = self._clock.now()
        present = reports.compute_minute(now, self._minute_seconds)
        minutes: _Records = {}
        hours: _Records = {}
        failed = False
        try:
            minutes, hours = await self._read_stored(present)
        except errors.KeyValueError as error:
            _log.warning("the report has only live counts: %s", error)
            failed = True
        live = await self._gather_live(present, minutes)
        unanswered = {vm for each in live for vm in each.missing}
        return reports.compute_report(
            document,
            reports.merge_records([*minutes.values(), *live]),
            now,
            hours=reports.merge_records(hours.values(), _HOUR_MINUTES),
            minute_seconds=self._minute_seconds,
            unanswered=tuple(sorted(unanswered)),
            incomplete_minutes=self._name_incomplete(minutes, 1),
            incomplete_hours=self._name_incomplete(hours, _HOUR_MINUTES),
            storage_failed=failed)

    async def _read_stored(self, present: int) -> tuple[_Records, _Records]:
        hour = present // _HOUR_MINUTES
        hours = await self._store.read_hours(range(hour - _HOURS, hour))
        first = present - _HOUR_MINUTES + 1
        if hour - 1 not in hours:
            first = (hour - 1) * _HOUR_MINUTES
        return await self._store.read_minutes(range(first, present)), hours

    async def _gather_live(self, present: int,
                           stored: _Records) -> list[reports.LevelRecord]:
        wanted = [
            minute for minute in range(present - _HOUR_MINUTES + 1, present + 1)
            if minute not in stored
        ]
        asking = [
            defer.ensureDeferred(self._gatherer.gather(each))
            for each in split_ranges(wanted)
        ]
        return [await each for each in asking]

    def _name_incomplete(self, records: _Records,
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
    """Returns ranges of adjacent minutes.

    Args:
        minutes: Minutes, in order.

    Examples:
        >>> [each.format() for each in split_ranges([1, 2, 5])]
        ['1-2', '5-5']
    """
    found: list[reports.MinuteRange] = []
    for minute in minutes:
        last = found[-1] if found else None
        if (last is not None and last.last + 1 == minute and
                minute - last.first < _RANGE_MINUTES):
            found[-1] = reports.MinuteRange(last.first, minute)
        else:
            found.append(reports.MinuteRange(minute, minute))
    return found
