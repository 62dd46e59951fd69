"""The counts of a stretch of time."""

import msgspec

from mustardwood.reports import level_histogram
from mustardwood.reports import level_row


class LevelRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts and histograms of some VMs.

    Attributes:
        rows: Counts by class and organisation; their endpoint is empty.
        endpoint_rows: The same counts by endpoint; their class and
            organisation are empty.
        histograms: First-token times.
        vms: VMs that are counted.
        missing: VMs that did not answer when the record was made.
        source: The process that counted, unique for each start of an entry;
            empty for a merged record.
        absent_minutes: Minutes without a record when an hour was merged.
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
    """Decodes a record; raises `msgspec.ValidationError` on other input."""
    return msgspec.json.decode(text, type=LevelRecord)
