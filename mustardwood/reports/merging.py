"""Merging of counts."""

import collections
import collections.abc

from hdrh import histogram as hdr

from mustardwood.reports import level_histogram
from mustardwood.reports import level_record
from mustardwood.reports import level_row

LOWEST_MILLISECONDS = 1
"""Lowest first-token time that a histogram tells apart."""
HIGHEST_MILLISECONDS = 3_600_000
"""Highest first-token time that a histogram holds."""
SIGNIFICANT_DIGITS = 2
"""Precision of a histogram."""

_Key = tuple[int, str, str, str]


def make_histogram() -> hdr.HdrHistogram:
    """Returns an empty histogram of milliseconds."""
    return hdr.HdrHistogram(LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS,
                            SIGNIFICANT_DIGITS)


def merge_records(
    records: collections.abc.Iterable[level_record.LevelRecord],
    minutes: int = 1,
) -> level_record.LevelRecord:
    """Adds up records.

    Args:
        records: The records, each of other VMs or other times.
        minutes: Length of the merged buckets; 60 makes hours of minutes.

    Returns:
        One record, with minutes rounded down to the start of their bucket.
    """
    rows: dict[_Key, list[level_row.LevelRow]] = collections.defaultdict(list)
    encoded: dict[tuple[int, str], list[str]] = collections.defaultdict(list)
    vms: set[str] = set()
    missing: set[str] = set()
    for record in records:
        vms.update(record.vms)
        missing.update(record.missing)
        for row in record.rows:
            start = row.minute - row.minute % minutes
            key = (start, row.class_name, row.organisation, row.endpoint)
            rows[key].append(row)
        for one in record.histograms:
            start = one.minute - one.minute % minutes
            encoded[start, one.class_name].append(one.encoded)
    return level_record.LevelRecord(
        rows=tuple(_add_rows(key, rows[key]) for key in sorted(rows)),
        histograms=tuple(
            level_histogram.LevelHistogram(
                *key, encode_histogram(merge_encoded(encoded[key])))
            for key in sorted(encoded)),
        vms=tuple(sorted(vms)),
        missing=tuple(sorted(missing)))


def merge_encoded(encoded: collections.abc.Iterable[str]) -> hdr.HdrHistogram:
    """Adds up histograms in their text form."""
    merged = make_histogram()
    for text in encoded:
        merged.decode_and_add(text.encode())
    return merged


def encode_histogram(histogram: hdr.HdrHistogram) -> str:
    """Returns a histogram's compressed text form."""
    return histogram.encode().decode()


def _add_rows(key: _Key, rows: list[level_row.LevelRow]) -> level_row.LevelRow:
    refused: collections.Counter[str] = collections.Counter()
    wasted: collections.Counter[str] = collections.Counter()
    for row in rows:
        refused.update(row.refused)
        wasted.update(row.wasted_tokens)
    return level_row.LevelRow(*key,
                              asked=sum(row.asked for row in rows),
                              whole=sum(row.whole for row in rows),
                              met=sum(row.met for row in rows),
                              useful_tokens=sum(
                                  row.useful_tokens for row in rows),
                              refused=dict(sorted(refused.items())),
                              wasted_tokens=dict(sorted(wasted.items())))
