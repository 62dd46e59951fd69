"""Tests of the service level counters and the request history."""

from mustardwood import reports
from mustardwood import routing
from mustardwood.routing.tests import router_harness


def list_rows(harness):
    return harness.router.recorder.make_record("vm1", None).rows


def test_complete_response_within_targets_counts_as_met():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.finish_stream("b")
    record = harness.router.recorder.make_record("vm1", None)
    (row,), (endpoint_row,) = record.rows, record.endpoint_rows
    assert (row.class_name, row.organisation) == ("tag", "tatra")
    assert endpoint_row.endpoint == "e1"
    for each in (row, endpoint_row):
        assert (each.asked, each.whole, each.met) == (1, 1, 1)
        assert each.useful_tokens == 2
    assert [each.class_name for each in record.histograms] == ["tag"]


def test_late_first_token_does_not_count_as_met():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.advance(0.7)
    harness.grant_last_ask()
    harness.send_head()
    harness.finish_stream("b")
    row = list_rows(harness)[0]
    assert (row.whole, row.met) == (1, 0)


def test_resumed_completion_counts_tokens_of_all_attempts():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.end_exchange(routing.AttemptEnd.LOST)
    harness.grant_retry()
    harness.send_head()
    harness.finish_stream("b")
    assert sum(each.useful_tokens for each in list_rows(harness)) == 2


def test_tokens_of_cancelled_request_are_wasted():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    assert list_rows(harness)[0].wasted_tokens == {"cancelled": 1}


def test_caller_disconnect_counts_as_missed_only_after_target():
    for waited, asked in ((0.5, 0), (0.7, 1)):
        harness = router_harness.RouterHarness()
        harness.submit_completion()
        harness.grant_last_ask()
        harness.advance(waited)
        harness.execute(harness.router.handle_caller_disconnect("r1"))
        rows = list_rows(harness)
        assert sum(each.asked for each in rows) == asked
        assert sum(each.met for each in rows) == 0


def test_first_token_of_discarded_attempt_does_not_count():
    harness = router_harness.RouterHarness()
    harness.submit_completion(stream=False)
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.advance(0.7)
    harness.end_exchange(routing.AttemptEnd.LOST)
    harness.grant_retry()
    harness.send_head(status=409)
    harness.send_body(b"{}")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)
    harness.grant_retry(endpoint="e3")
    harness.send_head()
    harness.finish_stream("b")
    rows = list_rows(harness)
    assert sum(each.whole for each in rows) == 1
    assert sum(each.met for each in rows) == 0
    assert sum(each.wasted_tokens.get("retried", 0) for each in rows) == 1


def test_tokens_generated_again_by_resume_are_wasted():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.send_token("b", finish_reason="stop")
    harness.end_exchange(routing.AttemptEnd.LOST)
    harness.grant_retry()
    harness.send_head()
    harness.finish_stream("b")
    rows = list_rows(harness)
    assert sum(each.useful_tokens for each in rows) == 2
    assert sum(each.wasted_tokens.get("resumed", 0) for each in rows) == 1


def test_record_holds_only_requested_minutes():
    harness = router_harness.RouterHarness()
    recorder = harness.router.recorder
    for minute in range(100, 200):
        recorder.add_row(reports.LevelRow(minute, "tag", "tatra", "e1",
                                          asked=1))
    kept = recorder.make_record("vm1", None)
    assert [each.minute for each in kept.rows] == list(range(140, 200))
    requested = recorder.make_record("vm1", reports.MinuteRange(150, 152))
    assert [each.minute for each in requested.rows] == [150, 151, 152]
    assert [each.minute for each in requested.endpoint_rows] == [150, 151, 152]


def test_engine_error_counts_as_refusal():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    harness.send_head(status=400)
    harness.send_body(b"{}")
    harness.end_exchange(routing.AttemptEnd.COMPLETE)
    assert harness.responses["r1"].status == 400
    row = list_rows(harness)[0]
    assert (row.whole, row.refused) == (0, {"endpoint_refused": 1})


def test_events_of_request_are_recorded_for_explain():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.grant_last_ask()
    texts = [
        each["text"] for each in harness.router.explanations.find_events("r1")
    ]
    assert texts[0] == "class tag, tier 0, organisation tatra, m"
    assert texts[1].startswith("ask 1: cell m/r/0, owner vm")
    assert texts[2].startswith("grant 1: endpoint e1")
