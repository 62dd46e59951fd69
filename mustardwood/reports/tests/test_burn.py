"""Tests of the report on service-level burn."""

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


def _make_row(age: int, asked: int, met: int, **more) -> reports.LevelRow:
    return reports.LevelRow(_MINUTE - age,
                            "tag",
                            more.pop("organisation", "acme"),
                            asked=asked,
                            whole=met,
                            met=met,
                            **more)


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
def test_alert_needs_both_windows(ages, missed, rule):
    rows = [_make_row(age, 100, round(100 * (1 - missed))) for age in ages]
    found = _compute(*rows).classes[0].alert
    assert (found and (found.severity, found.burn_rate)) == rule


def test_merged_records_add_counts_and_histograms():
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
    again = reports.decode_record(reports.encode_record(merged))
    report = reports.compute_report(_DOCUMENT, again, _NOW)
    assert report.classes[0].first_token_p50 == pytest.approx(0.1, rel=0.02)
    assert report.classes[0].first_token_p95 == pytest.approx(0.3, rel=0.02)


def test_worst_organisation_and_costliest_endpoint_come_first():
    report = _compute(
        _make_row(0, 10, 9, endpoint="e1", wasted_tokens={"retried": 5}),
        _make_row(0, 10, 1, endpoint="e2", organisation="other"))
    assert report.organisations[0].organisation == "other"
    assert report.endpoints[0].endpoint == "e2"
    assert report.wasted_tokens == {"retried": 5}
