"""Tests of the text and HTML forms of the burn report."""

import datetime

from mustardwood import configuration
from mustardwood import reports
from mustardwood.cli import burn_page
from mustardwood.cli import burn_text

_NOW = datetime.datetime(2026, 3, 1, 12, 0, tzinfo=datetime.UTC)
_DOCUMENT = configuration.Document(classes=(configuration.RequestClass(
    "tag", 1, 0.66, objective=0.9),),
                                   default_class="tag",
                                   organisations=(),
                                   models=(),
                                   endpoints=())


def _make_report(**overrides):
    minute = reports.compute_minute(_NOW)
    row = reports.LevelRow(minute,
                           "tag",
                           "<b>acme</b>",
                           asked=4,
                           met=1,
                           refused={"queue_full": 3},
                           wasted_tokens={"cut": 9})
    endpoint_row = reports.LevelRow(minute, "", "", "e<1>", asked=4, met=1)
    record = reports.LevelRecord(rows=(row,), endpoint_rows=(endpoint_row,))
    return reports.compute_report(_DOCUMENT,
                                  record,
                                  _NOW,
                                  unanswered=("vm-3",),
                                  **overrides)


def test_text_lists_alerts_waste_refusals_and_unanswering_vms():
    text = burn_text.format_report(_make_report(storage_failed=True))
    for expected_text in ("no answer from: vm-3",
                          "only the counts of running VMs", "queue_full", "cut",
                          "e<1>", "25.0%", "page (6h/1h)"):
        assert expected_text in text


def test_page_escapes_names_and_loads_no_other_files():
    page = burn_page.format_page(_make_report())
    assert "<b>acme" not in page
    assert "&lt;b&gt;acme&lt;/b&gt;" in page
    assert "e&lt;1&gt;" in page
    assert page.count("<svg") == 2
    for tag in ("<script", "<link", "<img", "src="):
        assert tag not in page


def test_missing_minutes_of_a_vm_are_reported_in_one_line():
    minutes = {f"2026-03-01T11:0{minute}": ("vm-2",) for minute in range(5)}
    messages = burn_text.list_missing_data(
        _make_report(incomplete_minutes=minutes))
    assert messages[1:] == [
        "stored counts miss vm-2 in 5 minutes, from 2026-03-01T11:00 to "
        "2026-03-01T11:04"
    ]
