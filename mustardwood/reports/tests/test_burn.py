"""Tests of the report on error-budget burn."""

import datetime

import pytest

from mustardwood import configuration
from mustardwood import reports

_NOW = datetime.datetime(2026, 3, 1, 12, 0, tzinfo=datetime.UTC)
_MINUTE = reports.compute_minute(_NOW)
_DOCUMENT = configuration.Document(classes=(configuration.RequestClass(
    "tag", 1, 0.66, objective=0.9),),
                                   default_class="tag",
                                   organisations=(),
                                   models=(),
                                   endpoints=())


def _make_row(age: int, asked: int, met: int, **fields) -> reports.LevelRow:
    return reports.LevelRow(_MINUTE - age,
                            "tag",
                            fields.pop("organisation", "acme"),
                            asked=asked,
                            whole=met,
                            met=met,
                            **fields)


def _compute(*rows: reports.LevelRow) -> reports.BurnReport:
    return reports.compute_report(_DOCUMENT, reports.LevelRecord(rows=rows),
                                  _NOW)


def test_windows_count_only_their_own_minutes():
    report = _compute(_make_row(4, 10, 5), _make_row(5, 10, 10),
                      _make_row(100, 80, 80))
    windows = {each.name: each for each in report.classes[0].windows}
    assert windows["5m"].burn_rate == pytest.approx(5.0)
    assert windows["1h"].burn_rate == pytest.approx(2.5)
    assert windows["6h"].burn_rate == pytest.approx(0.5)
    assert report.classes[0].budget_left == pytest.approx(0.5)


@pytest.mark.parametrize("ages, missed, rule", [
    (range(0, 60), 1.0, ("page", 6.0)),
    (range(0, 360), 0.7, ("page", 6.0)),
    (range(300, 360), 1.0, ("ticket", 1.0)),
    (range(0, 360), 0.05, None),
])
def test_alert_requires_the_burn_rate_in_both_windows(ages, missed, rule):
    rows = [_make_row(age, 100, round(100 * (1 - missed))) for age in ages]
    found = _compute(*rows).classes[0].alert
    assert (found and (found.severity, found.burn_rate)) == rule


def test_merged_records_sum_counts_and_histograms():
    first, second = reports.make_histogram(), reports.make_histogram()
    first.record_value(100)
    second.record_value(300)
    records = [
        reports.LevelRecord(
            rows=(_make_row(0, 2, 1, refused={"shed": 1}),),
            histograms=(reports.LevelHistogram(_MINUTE, "tag",
                                               reports.encode_histogram(one)),),
            vms=(vm,)) for vm, one in (("a", first), ("b", second))
    ]
    merged = reports.merge_records(records)
    assert merged.vms == ("a", "b")
    assert merged.rows == (_make_row(0, 4, 2, refused={"shed": 2}),)
    decoded = reports.decode_record(reports.encode_record(merged))
    report = reports.compute_report(_DOCUMENT, decoded, _NOW)
    assert report.classes[0].first_token_p50 == pytest.approx(0.1, rel=0.02)
    assert report.classes[0].first_token_p95 == pytest.approx(0.3, rel=0.02)


def test_organisation_and_endpoint_with_most_misses_come_first():
    rows = (_make_row(0, 10, 9, endpoint="e1", wasted_tokens={"retried": 5}),
            _make_row(0, 10, 1, endpoint="e2", organisation="other"))
    report = reports.compute_report(
        _DOCUMENT, reports.LevelRecord(rows=rows, endpoint_rows=rows), _NOW)
    assert report.organisations[0].organisation == "other"
    assert report.endpoints[0].endpoint == "e2"
    assert report.wasted_tokens == {"retried": 5}


def test_hours_and_minutes_are_not_counted_twice():
    now = _NOW + datetime.timedelta(minutes=20)
    start = _MINUTE - 180
    rows = [
        reports.LevelRow(minute, "tag", "acme", asked=1, met=minute % 2)
        for minute in range(start, _MINUTE + 21)
    ]
    whole = reports.LevelRecord(rows=tuple(rows))
    hours = reports.merge_records([
        reports.LevelRecord(rows=tuple(
            row for row in rows if row.minute < _MINUTE - 60))
    ], 60)
    recent = reports.LevelRecord(rows=tuple(
        row for row in rows if row.minute > _MINUTE - 70))
    expected = reports.compute_report(_DOCUMENT, whole, now)
    found = reports.compute_report(_DOCUMENT, recent, now, hours=hours)
    for burns in ("classes", "organisations"):
        first, second = getattr(expected, burns)[0], getattr(found, burns)[0]
        assert first.windows == second.windows
    assert found.classes[0].windows[-1].asked == 201


def test_record_of_the_target_fleet_size_fits_into_a_stored_value():
    """220 organisations in 6 classes on 180 endpoints need less than 1 MB."""
    histogram = reports.make_histogram()
    for value in range(1, 20_000):
        histogram.record_value(value)
    counts = {
        "asked": 123_456,
        "whole": 123_456,
        "met": 123_456,
        "useful_tokens": 123_456_789,
        "refused": {
            f"reason_of_refusal_{number}": 12_345 for number in range(3)
        },
        "wasted_tokens": {
            cause: 123_456
            for cause in ("retried", "cancelled", "cut", "resumed")
        },
    }
    record = reports.LevelRecord(
        rows=tuple(
            reports.LevelRow(_MINUTE, f"class-of-requests-{tier}",
                             f"organisation-with-a-name-{number}", **counts)
            for tier in range(6)
            for number in range(220)),
        endpoint_rows=tuple(
            reports.LevelRow(_MINUTE, "", "", f"endpoint-{number}", **counts)
            for number in range(180)),
        histograms=tuple(
            reports.LevelHistogram(_MINUTE, f"class-of-requests-{tier}",
                                   reports.encode_histogram(histogram))
            for tier in range(6)),
        vms=tuple(f"entry-vm-{number}" for number in range(400)),
        missing=())
    assert len(reports.encode_record(record)) < 1_000_000
