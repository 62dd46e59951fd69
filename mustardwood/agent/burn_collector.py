"""Writing of the fleet's counts to the platform's service."""

import collections.abc
import datetime

import msgspec

from mustardwood import errors
from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime
from mustardwood import timing
from mustardwood.agent import burn_store
from mustardwood.agent import fleet_counts_reader

MAX_HOUR_WAIT_MINUTES = 30
"""Minutes that an hour waits for the records of its minutes."""

_HOUR_MINUTES = 60
_log = runtime.make_logger("burn")


class BurnCollector:
    """Writes the records whose turn is this VM's."""

    def __init__(
        self, vm: str, minute_seconds: float, clock: timing.Clock,
        store: burn_store.BurnStore,
        counts_reader: fleet_counts_reader.FleetCountsReader,
        list_members: collections.abc.Callable[[], tuple[messages.Member, ...]]
    ) -> None:
        self._clock = clock
        self._store = store
        self._counts_reader = counts_reader
        self._list_members = list_members
        self._hour = datetime.timedelta(seconds=minute_seconds * _HOUR_MINUTES)
        now = clock.now()
        self._minutes = reports.CollectionSchedule(
            vm, reports.make_minute_rule(minute_seconds), now)
        self._hours = reports.CollectionSchedule(
            vm, reports.make_hour_rule(minute_seconds), now)

    async def collect_due(self) -> None:
        """Writes all records that are due; failures are tried again later."""
        await self._collect(self._minutes, self._collect_minute)
        await self._collect(self._hours, self._collect_hour)

    async def _collect(
        self, schedule: reports.CollectionSchedule,
        collect: collections.abc.Callable[[int],
                                          collections.abc.Awaitable[bool]]
    ) -> None:
        due = schedule.list_due(self._list_members(), self._clock.now())
        for index, number in enumerate(due):
            try:
                if await collect(number):
                    schedule.mark_stored(number)
                else:
                    schedule.postpone(number, self._clock.now())
            except errors.KeyValueError as error:
                _log.warning(
                    "counts of service levels wait for the platform: "
                    "%s", error)
                for waiting in due[index:]:
                    schedule.postpone(waiting, self._clock.now())
                return

    async def _collect_minute(self, minute: int) -> bool:
        if not await self._store.read_minutes((minute,)):
            minute_range = reports.MinuteRange(minute, minute)
            record = await self._counts_reader.read_counts(minute_range)
            await self._store.write_minute(minute, record)
        return True

    async def _collect_hour(self, hour: int) -> bool:
        if await self._store.read_hours((hour,)):
            return True
        minutes = range(hour * _HOUR_MINUTES, (hour + 1) * _HOUR_MINUTES)
        found = await self._store.read_minutes(minutes)
        absent = tuple(each for each in minutes if each not in found)
        if absent and not self._has_waited(hour):
            return False
        merged = reports.merge_records(found.values(), _HOUR_MINUTES)
        await self._store.write_hour(
            hour, msgspec.structs.replace(merged, absent_minutes=absent))
        return True

    def _has_waited(self, hour: int) -> bool:
        end = datetime.datetime.fromtimestamp(
            (hour + 1) * self._hour.total_seconds(), datetime.UTC)
        waited = self._clock.now() - end
        return waited >= self._hour * MAX_HOUR_WAIT_MINUTES / _HOUR_MINUTES
