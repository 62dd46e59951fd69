"""Merging of records of service-level counts."""

import collections
import collections.abc

from hdrh import histogram as hdr

from mustardwood.reports import level_histogram
from mustardwood.reports import level_record
from mustardwood.reports import level_row

LOWEST_MILLISECONDS = 1
"""Smallest time to the first token that a histogram can represent."""
HIGHEST_MILLISECONDS = 3_600_000
"""Largest time to the first token that a histogram can represent."""
SIGNIFICANT_DIGITS = 2
"""Number of significant decimal digits of a histogram's values."""

_Key = tuple[int, str, str, str]


def make_histogram() -> hdr.HdrHistogram:
    """Returns an empty histogram of milliseconds."""
    return hdr.HdrHistogram(LOWEST_MILLISECONDS, HIGHEST_MILLISECONDS,
                            SIGNIFICANT_DIGITS)


def merge_records(
    records: collections.abc.Iterable[level_record.LevelRecord],
    minutes: int = 1,
) -> level_record.LevelRecord:
    """Merges records into one.

    Args:
        records: The records; no two of them cover the same VM and minute.
        minutes: Length of the merged buckets, in minutes; 60 merges minutes
            into hours.

    Returns:
        The merged record; its minutes are the starts of the buckets.
    """
    rows: list[level_row.LevelRow] = []
    endpoint_rows: list[level_row.LevelRow] = []
    encoded: dict[tuple[int, str], list[str]] = collections.defaultdict(list)
    vms: set[str] = set()
    missing: set[str] = set()
    absent: set[int] = set()
    for record in records:
        vms.update(record.vms)
        missing.update(record.missing)
        absent.update(record.absent_minutes)
        rows.extend(record.rows)
        endpoint_rows.extend(record.endpoint_rows)
        for one in record.histograms:
            start = one.minute - one.minute % minutes
            encoded[start, one.class_name].append(one.encoded)
    return level_record.LevelRecord(
        rows=_merge_rows(rows, minutes),
        endpoint_rows=_merge_rows(endpoint_rows, minutes),
        histograms=tuple(
            level_histogram.LevelHistogram(
                *key, encode_histogram(merge_encoded_histograms(encoded[key])))
            for key in sorted(encoded)),
        vms=tuple(sorted(vms)),
        missing=tuple(sorted(missing)),
        absent_minutes=tuple(sorted(absent)))


def merge_encoded_histograms(
        encoded: collections.abc.Iterable[str]) -> hdr.HdrHistogram:
    """Merges histograms in their encoded form."""
    merged = make_histogram()
    for text in encoded:
        merged.decode_and_add(text.encode())
    return merged


def encode_histogram(histogram: hdr.HdrHistogram) -> str:
    """Encodes a histogram in its compressed, base64-encoded form."""
    return histogram.encode().decode()


def _merge_rows(rows: collections.abc.Iterable[level_row.LevelRow],
                minutes: int) -> tuple[level_row.LevelRow, ...]:
    groups: dict[_Key, list[level_row.LevelRow]] = collections.defaultdict(list)
    for row in rows:
        start = row.minute - row.minute % minutes
        groups[start, row.class_name, row.organisation,
               row.endpoint].append(row)
    return tuple(add_rows(key, groups[key]) for key in sorted(groups))


def add_rows(
        key: tuple[int, str, str,
                   str], rows: collections.abc.Sequence[level_row.LevelRow]
) -> level_row.LevelRow:
    """Sums the counts of rows.

    Args:
        key: Minute, class, organisation and endpoint of the sum.
        rows: The rows to sum.
    """
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
