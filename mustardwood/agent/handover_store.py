"""Service-level counts of stopped entries."""

import datetime

import msgspec

from mustardwood import messages
from mustardwood import reports
from mustardwood import runtime

_log = runtime.make_logger("burn")


class HandoverStore:
    """Stores the counts that entries hand over in a graceful shutdown.

    Args:
        retention: How long the counts are kept.
    """

    def __init__(self, retention: datetime.timedelta) -> None:
        self._retention = retention
        self._records: dict[str, tuple[datetime.timedelta,
                                       reports.LevelRecord]] = {}

    def add(self, handover: messages.LevelHandover,
            now: datetime.timedelta) -> None:
        """Stores the counts of an entry; a repeated handover replaces them."""
        try:
            record = reports.decode_record(handover.body)
        except msgspec.MsgspecError as error:
            _log.warning(
                "ignored malformed service-level counts handed over by "
                "VM %s: %s", handover.vm, error)
            return
        self._records[record.source] = (now, record)

    def list_records(
            self, wanted: reports.MinuteRange | None,
            now: datetime.timedelta) -> tuple[reports.LevelRecord, ...]:
        """Returns the stored counts.

        Args:
            wanted: Range of minutes; None for all.
            now: Current monotonic time; counts past their retention are
                removed.
        """
        self._records = {
            source: (received_at, record)
            for source, (received_at, record) in self._records.items()
            if now - received_at <= self._retention
        }
        return tuple(
            reports.filter_by_range(record, wanted)
            for _, record in self._records.values())
