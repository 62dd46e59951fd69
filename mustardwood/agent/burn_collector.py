"""Storage of the fleet's service-level counts at the platform."""

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
"""Maximum wait for the missing minute records of an hour, in minutes."""

_MINUTES_PER_HOUR = 60
_log = runtime.make_logger("burn")


class BurnCollector:
    """Writes the records that this VM has to write by the collection schedule.

    A record of a minute is the sum of the counts of all VMs. A record of an
    hour is the sum of the stored records of its minutes.

    Args:
        vm: Name of this VM.
        minute_seconds: Length of a minute of the report, in seconds.
        clock: Source of wall-clock time.
        store: Stored records.
        counts_reader: Reads the counts that the VMs hold.
        list_members: Returns the known VMs.
    """

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
        self._hour = datetime.timedelta(seconds=minute_seconds *
                                        _MINUTES_PER_HOUR)
        now = clock.now()
        self._minutes = reports.CollectionSchedule(
            vm, reports.make_minute_rule(minute_seconds), now)
        self._hours = reports.CollectionSchedule(
            vm, reports.make_hour_rule(minute_seconds), now)

    async def collect_due_records(self) -> None:
        """Writes all records that are due; a failed write is retried later."""
        await self._collect_records(self._minutes, self._collect_minute)
        await self._collect_records(self._hours, self._collect_hour)

    async def _collect_records(
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
                    "service-level counts could not be stored; retrying later: "
                    "%s", error)
                for postponed in due[index:]:
                    schedule.postpone(postponed, self._clock.now())
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
        minutes = range(hour * _MINUTES_PER_HOUR,
                        (hour + 1) * _MINUTES_PER_HOUR)
        found = await self._store.read_minutes(minutes)
        absent = tuple(each for each in minutes if each not in found)
        if absent and not self._is_wait_over(hour):
            return False
        merged = reports.merge_records(found.values(), _MINUTES_PER_HOUR)
        await self._store.write_hour(
            hour, msgspec.structs.replace(merged, absent_minutes=absent))
        return True

    def _is_wait_over(self, hour: int) -> bool:
        end = datetime.datetime.fromtimestamp(
            (hour + 1) * self._hour.total_seconds(), datetime.UTC)
        waited = self._clock.now() - end
        return waited >= self._hour * MAX_HOUR_WAIT_MINUTES / _MINUTES_PER_HOUR
