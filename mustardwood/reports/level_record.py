"""The counts of a stretch of time."""

import msgspec

from mustardwood.reports import level_histogram
from mustardwood.reports import level_row


class LevelRecord(msgspec.Struct, frozen=True):
    """Counts and histograms of some VMs.

    Attributes:
        rows: Counts.
        histograms: First-token times.
        vms: VMs that are counted.
        missing: VMs that did not answer when the record was made.
    """

    rows: tuple[level_row.LevelRow, ...] = ()
    histograms: tuple[level_histogram.LevelHistogram, ...] = ()
    vms: tuple[str, ...] = ()
    missing: tuple[str, ...] = ()


def encode_record(record: LevelRecord) -> str:
    """Encodes a record as compact JSON."""
    return msgspec.json.encode(record).decode()


def decode_record(text: str | bytes) -> LevelRecord:
    """Decodes a record; raises `msgspec.ValidationError` on other input."""
    return msgspec.json.decode(text, type=LevelRecord)
