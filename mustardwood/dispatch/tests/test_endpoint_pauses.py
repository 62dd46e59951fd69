"""Tests of pauses that endpoints ask for."""

import datetime
import random

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_PAUSED = dispatch.NoticeKind.PAUSED
_PAUSE = ms(2000)
_LONGEST_DELAY = ms(500)
"""Longest time by which the end of a pause is delayed."""


def _ask_for_pause(harness, endpoint, pause=_PAUSE):
    harness.pauses.record_response(endpoint, dispatch.PauseStatement(pause))


def _pause_all(harness, count, pause=_PAUSE):
    for index in range(count):
        _ask_for_pause(harness, harness_module.make_endpoint(index), pause)


def _send_many(harness, count=30, **changes):
    names = []
    for _ in range(count):
        harness.start(harness_module.make_request(harness, **changes))
        names.append(harness.client.sent[-1].endpoint.name)
        harness.client.sent[-1].respond(body=b"body")
    return names


def test_refusal_with_a_pause_keeps_all_requests_away():
    harness = harness_module.Harness(endpoints=2)
    _, caller = harness.start()
    full = harness.client.sent[0]
    full.respond(503, verified=False, not_run=True, pause=_PAUSE)
    harness.client.sent[1].respond(body=b"body")
    assert caller.status == 200
    assert full.endpoint.name not in _send_many(harness)
    harness.scheduler.advance(_PAUSE - ms(1))
    assert full.endpoint.name not in _send_many(harness)
    harness.scheduler.advance(_LONGEST_DELAY + ms(1))
    assert full.endpoint.name in _send_many(harness)


def test_resumption_and_successor_respect_a_pause():
    harness = harness_module.Harness(endpoints=3)
    harness.streams.record(
        dispatch.stream_version_table.find_key("engine", "stream-1"), "v1")
    _ask_for_pause(harness, harness_module.make_endpoint(0), ms(20_000))
    harness.start(
        harness_module.make_stream_request(harness,
                                           last_event_id=4,
                                           resumed_request_id="stream-1"))
    harness.start(harness_module.make_stream_request(harness))
    harness.scheduler.advance(ms(6_000))
    assert len(harness.client.sent) > 2
    assert "endpoint-0" not in {
        each.endpoint.name for each in harness.client.sent
    }


def test_misdirected_request_says_nothing_of_a_pause():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].respond(421, not_run=True, pause=_PAUSE)
    assert not harness.notices.has("endpoint-0/0", _PAUSED)


def test_pause_that_ends_last_counts():
    harness = harness_module.Harness(endpoints=1)
    endpoint = harness_module.make_endpoint(0)
    _ask_for_pause(harness, endpoint, ms(5000))
    _ask_for_pause(harness, endpoint, ms(0))
    _ask_for_pause(harness, endpoint, ms(100))
    harness.clock.advance(ms(4999))
    assert not harness.pauses.list_allowed([endpoint])


def test_pause_is_bounded():
    harness = harness_module.Harness(endpoints=1)
    endpoint = harness_module.make_endpoint(0)
    _ask_for_pause(harness, endpoint, datetime.timedelta(days=400))
    harness.clock.advance(dispatch.MAX_PAUSE + _LONGEST_DELAY)
    assert harness.pauses.list_allowed([endpoint])


def test_pause_ends_with_a_restart_under_the_same_name():
    harness = harness_module.Harness(endpoints=0)
    _ask_for_pause(harness, harness_module.make_endpoint(0, started=5))
    restarted = harness_module.make_endpoint(0, started=6)
    assert harness.pauses.list_allowed([restarted])


def test_number_of_requests_after_a_pause_begins_with_one_and_doubles():
    harness = harness_module.Harness(endpoints=1)
    endpoint = harness_module.make_endpoint(0)
    _ask_for_pause(harness, endpoint)
    sent = []
    for _ in range(400):
        while harness.pauses.list_allowed([endpoint]) and len(sent) < 1000:
            harness.pauses.record_send(endpoint)
            sent.append(harness.clock.monotonic())
        harness.clock.advance(ms(10))
    counts = [
        sum(each < sent[0] + ms(250 * index)
            for each in sent)
        for index in (1, 2, 3, 4)
    ]
    assert counts == [1, 2, 4, 8]
    assert len(sent) == 1000


@pytest.mark.parametrize("vms", [9, 60, 195, 400])
def test_vms_return_one_after_the_other(vms):
    clock = timing.ManualClock()
    endpoint = harness_module.make_endpoint(0)
    pauses = []
    for index in range(vms):
        pauses.append(
            dispatch.EndpointPauses(
                clock, random.Random(index),
                dispatch.EndpointNotices(f"vm-{index}", clock)))
        pauses[-1].record_response(endpoint, dispatch.PauseStatement(_PAUSE))
    returns = []
    for _ in range(300):
        count = 0
        for each in pauses:
            if each.list_allowed([endpoint]):
                each.record_send(endpoint)
                count += 1
        returns.append(count)
        clock.advance(ms(10))
    assert not any(returns[:200])
    # A tenth of the time in which they return.
    most = max(sum(returns[start:start + 5]) for start in range(200, 225))
    assert most <= 0.25 * vms + 3


def test_peers_use_a_paused_endpoint_only_if_no_other_has_room():
    harness = harness_module.Harness(endpoints=2)
    harness.notices.record_peer_notice(
        "vm-2", dispatch.EndpointNotice("endpoint-0/0", _PAUSED, ms(100),
                                        _PAUSE))
    assert set(_send_many(harness)) == {"endpoint-1"}
    harness.notices.record("endpoint-1/0", dispatch.NoticeKind.LEAVING)
    assert set(_send_many(harness)) == {"endpoint-0"}
    harness.clock.advance(_PAUSE)
    assert not harness.notices.has("endpoint-0/0", _PAUSED)


def test_most_urgent_request_waits_for_the_first_pause_that_ends():
    harness = harness_module.Harness(endpoints=2)
    _ask_for_pause(harness, harness_module.make_endpoint(0), ms(200))
    _ask_for_pause(harness, harness_module.make_endpoint(1), ms(9000))
    _, caller = harness.start(
        harness_module.make_request(harness, tier=0, first_byte_target=ms(300)))
    assert not harness.client.sent and caller.status is None
    harness.scheduler.advance(ms(300))
    assert [each.endpoint.name for each in harness.client.sent
           ] == ["endpoint-0"]


def test_less_urgent_request_is_refused_while_a_more_urgent_one_waits():
    harness = harness_module.Harness(endpoints=1)
    _pause_all(harness, 1, ms(300))
    _, urgent = harness.start(
        harness_module.make_request(harness, tier=0, first_byte_target=ms(400)))
    _, other = harness.start(
        harness_module.make_request(harness, tier=1, first_byte_target=ms(400)))
    assert urgent.status is None
    assert other.status == 503


def test_request_that_cannot_wait_for_the_end_is_refused_at_once():
    harness = harness_module.Harness(endpoints=3)
    _pause_all(harness, 3, ms(4000))
    _, caller = harness.start()
    assert caller.status == 503
    assert caller.refusal.retry_after >= ms(4000)
    assert not harness.client.sent
    assert harness.journal.lines[-1][1]["waited_for"] == "paused"


def test_unreadable_statement_changes_nothing_and_is_reported_once():
    clock = timing.ManualClock()
    problems = []
    pauses = dispatch.EndpointPauses(clock, random.Random(1),
                                     dispatch.EndpointNotices("vm-1", clock),
                                     lambda *problem: problems.append(problem))
    endpoint = harness_module.make_endpoint(0)
    for _ in range(3):
        pauses.record_response(endpoint,
                               dispatch.PauseStatement(problem="no number"))
    assert pauses.list_allowed([endpoint]) == [endpoint]
    assert problems == [("endpoint-0/0", "no number")]
