"""The counts of entries that stopped."""

import datetime

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime

_log = runtime.make_logger("burn")


class HandoverStore:
    """Keeps what stopping entries handed over.

    Args:
        kept: How long it is kept.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._records: dict[str, tuple[datetime.timedelta,
                                       reports.LevelRecord]] = {}

    def add(self, handover: messages.LevelHandover,
            now: datetime.timedelta) -> None:
        """Takes the counts of an entry; a repeat changes nothing."""
        try:
            record = reports.decode_record(handover.body)
        except msgspec.MsgspecError as error:
            _log.warning("VM %s handed over a malformed record: %s",
                         handover.vm, error)
            return
        self._records[record.source] = (now, record)

    def list_records(
            self, wanted: reports.MinuteRange | None,
            now: datetime.timedelta) -> tuple[reports.LevelRecord, ...]:
        """Returns the counts of some minutes; of all for None."""
        self._records = {
            source: (received_at, record)
            for source, (received_at, record) in self._records.items()
            if now - received_at <= self._retention
        }
        return tuple(
            reports.filter_by_range(record, wanted)
            for _, record in self._records.values())
