"""Service-level counts in the platform's key-value service."""

import collections.abc
import datetime
import typing

import msgspec
from twisted.internet import defer

from mustardwood import errors
from mustardwood import keyvalue
from mustardwood import reports
from mustardwood import runtime
from mustardwood.agent import stored_record

MINUTE_PREFIX = "mustardwood/burn/minute/"
"""Prefix of the keys of minute records."""

HOUR_PREFIX = "mustardwood/burn/hour/"
"""Prefix of the keys of hour records."""

MINUTE_TIME_TO_LIVE = datetime.timedelta(hours=3)
"""Time from the first write of an hour until its minute records expire.

All minutes of an hour share one lease, so each minute record is stored for at
least two hours.
"""

HOUR_TIME_TO_LIVE = datetime.timedelta(days=4)
"""Time from the write of an hour record until it expires."""

_MAX_CONCURRENT_READS = 8
_MINUTES_PER_HOUR = 60
_log = runtime.make_logger("burn")


class BurnStore:
    """Reads and writes minute and hour records.

    Each method may raise `KeyValueError`.

    Args:
        service: The platform's key-value service.
    """

    def __init__(self, service: keyvalue.KeyValueService) -> None:
        self._service = service
        self._lease_hour = -1
        self._lease_id = ""

    async def read_minutes(
        self, minutes: collections.abc.Iterable[int]
    ) -> dict[int, reports.LevelRecord]:
        """Returns the stored records by minute; others are absent."""
        return await self._read_all(MINUTE_PREFIX, minutes)

    async def read_hours(
            self, hours: collections.abc.Iterable[int]
    ) -> dict[int, reports.LevelRecord]:
        """Returns the stored records by hour; others are absent."""
        return await self._read_all(HOUR_PREFIX, hours)

    async def write_minute(self, minute: int,
                           record: reports.LevelRecord) -> None:
        """Writes a minute's record unless another VM has written it."""
        lease_id = await self._get_or_grant_lease(minute)
        try:
            await self._write_minute(minute, record, lease_id)
        except errors.LeaseLostError:
            self._lease_hour = -1
            lease_id = await self._grant_lease(minute)
            await self._write_minute(minute, record, lease_id)

    async def write_hour(self, hour: int, record: reports.LevelRecord) -> None:
        """Writes an hour's record unless another VM has written it."""
        lease = await self._service.grant_lease(HOUR_TIME_TO_LIVE)
        await self._put(f"{HOUR_PREFIX}{hour}",
                        stored_record.StoredRecord(record), lease.lease_id)

    async def _write_minute(self, minute: int, record: reports.LevelRecord,
                            lease_id: str) -> None:
        stored = stored_record.StoredRecord(record, lease_id)
        await self._put(f"{MINUTE_PREFIX}{minute}", stored, lease_id)

    async def _get_or_grant_lease(self, minute: int) -> str:
        """Returns the lease of the minute's hour.

        The lease may have been granted to another VM: its id is then read from
        the record of the previous minute.
        """
        if self._lease_hour == minute // _MINUTES_PER_HOUR:
            return self._lease_id
        if minute % _MINUTES_PER_HOUR:
            previous = await self._read(f"{MINUTE_PREFIX}{minute - 1}")
            if previous is not None and previous.lease_id:
                self._cache_lease(minute, previous.lease_id)
                return previous.lease_id
        return await self._grant_lease(minute)

    async def _grant_lease(self, minute: int) -> str:
        lease = await self._service.grant_lease(MINUTE_TIME_TO_LIVE)
        self._cache_lease(minute, lease.lease_id)
        return lease.lease_id

    def _cache_lease(self, minute: int, lease_id: str) -> None:
        self._lease_hour = minute // _MINUTES_PER_HOUR
        self._lease_id = lease_id

    async def _put(self, key: str, stored: stored_record.StoredRecord,
                   lease_id: str) -> None:
        value = msgspec.json.encode(stored).decode()
        try:
            await self._service.put(key,
                                    value,
                                    expected_revision=0,
                                    lease_id=lease_id)
        except errors.ConflictError:
            _log.debug("key %s was written by another VM first", key)

    async def _read_all(
        self, prefix: str, record_numbers: collections.abc.Iterable[int]
    ) -> dict[int, reports.LevelRecord]:
        found: dict[int, reports.LevelRecord] = {}
        semaphore = defer.DeferredSemaphore(_MAX_CONCURRENT_READS)

        async def read(number: int) -> None:
            stored = await self._read(f"{prefix}{number}")
            if stored is not None:
                found[number] = stored.record

        reading: list[defer.Deferred[typing.Any]] = [
            semaphore.run(read, number) for number in record_numbers
        ]
        await _wait_for_all(reading)
        return found

    async def _read(self, key: str) -> stored_record.StoredRecord | None:
        value = await self._service.get(key)
        if value is None:
            return None
        try:
            return msgspec.json.decode(value.value,
                                       type=stored_record.StoredRecord)
        except msgspec.MsgspecError as error:
            _log.error("ignored the malformed record at key %s: %s", key, error)
            return None


async def _wait_for_all(deferreds: list[defer.Deferred[typing.Any]]) -> None:
    """Waits for all Deferreds, then raises the first failure, if any."""
    results = await defer.DeferredList(deferreds, consumeErrors=True)
    for succeeded, result in results:
        if not succeeded:
            raise result.value
