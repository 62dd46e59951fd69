"""Service-level counts of one or more minutes."""

import msgspec

from mustardwood.reports import level_histogram
from mustardwood.reports import level_row


class LevelRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Service-level counts and histograms of one or more VMs.

    Attributes:
        rows: Counts by minute, class and organisation; their endpoint is
            empty.
        endpoint_rows: The same counts by minute and endpoint; their class and
            organisation are empty.
        histograms: Times to the first token by minute and class.
        vms: VMs whose counts are included.
        missing: VMs that did not answer when the record was made.
        source: Id of the entry process that counted, unique for each of its
            starts; empty for a merged record.
        absent_minutes: Minutes of an hour that had no record when the hour
            was merged.
    """

    rows: tuple[level_row.LevelRow, ...] = ()
    endpoint_rows: tuple[level_row.LevelRow, ...] = ()
    histograms: tuple[level_histogram.LevelHistogram, ...] = ()
    vms: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()
    source: str = ""
    absent_minutes: tuple[int, ...] = ()


def encode_record(record: LevelRecord) -> str:
    """Encodes a record as compact JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(text: str | bytes) -> LevelRecord:
    """Decodes a record.

    Raises:
        msgspec.MsgspecError: The text is not an encoded record.
    """
    return msgspec.json.decode(text, type=LevelRecord)
