"""Tests of what VMs learn of endpoints from responses."""

import random

import pytest

from mustardwood import dispatch
from mustardwood import timing
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_LEAVING = dispatch.NoticeKind.LEAVING
_REPLACED = dispatch.NoticeKind.REPLACED


def _send_many(harness, count=40, **changes):
    """Sends requests that are answered at once; returns their endpoints."""
    names = []
    for _ in range(count):
        harness.start(harness_module.make_request(harness, **changes))
        names.append(harness.client.sent[-1].endpoint.name)
        harness.client.sent[-1].respond(body=b"body")
    return names


def _respond_whole(attempt):
    attempt.respond(body=b"body", leaving=True)


def _respond_full(attempt):
    attempt.respond(503, verified=False, not_run=True, leaving=True)


def _respond_error(attempt):
    attempt.respond(500, leaving=True)


def _respond_broken_off(attempt):
    attempt.begin(leaving=True)
    attempt.listener.receive_data(b"bo")
    attempt.listener.receive_failure(True, "connection lost")


@pytest.mark.parametrize(
    "respond",
    [_respond_whole, _respond_full, _respond_error, _respond_broken_off])
def test_endpoint_leaves_after_any_response_that_says_so(respond):
    harness = harness_module.Harness()
    harness.start()
    leaving = harness.client.sent[0].endpoint.name
    respond(harness.client.sent[0])
    for attempt in harness.client.sent[1:]:
        attempt.respond(body=b"body")
    assert harness.notices.has(f"{leaving}/0", _LEAVING)
    assert leaving not in _send_many(harness)
    assert harness.directory.find_endpoint(leaving) is not None


def test_head_of_a_stream_says_that_the_endpoint_leaves():
    harness = harness_module.Harness()
    _, caller = harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin(leaving=True)
    assert first.endpoint.name not in _send_many(harness)
    # What it still runs is left to finish.
    first.listener.receive_data(b"id: 1\ndata: a\n\n")
    first.listener.receive_end()
    assert not first.is_aborted
    assert caller.end == "complete"


def test_response_that_is_no_longer_expected_says_that_the_endpoint_leaves():
    harness = harness_module.Harness()
    forwarding, _ = harness.start()
    attempt = harness.client.sent[0]
    forwarding.handle_caller_disconnect()
    attempt.begin(leaving=True)
    assert attempt.endpoint.name not in _send_many(harness)


def test_waiting_request_is_not_sent_to_an_endpoint_that_leaves_meanwhile():
    harness = harness_module.Harness(endpoints=1, memory_tokens=1_000)
    request = {
        "prompt": harness_module.make_prompt("subject", 800, 200),
        "is_stream": True
    }
    harness.start(harness_module.make_request(harness, **request))
    harness.start(harness_module.make_request(harness, **request))
    assert len(harness.client.sent) == 1
    harness.client.sent[0].begin(leaving=True)
    harness.client.sent[0].listener.receive_data(b"id: 1\ndata: a\n\n")
    harness.client.sent[0].listener.receive_end()
    harness.scheduler.advance(ms(200))
    assert len(harness.client.sent) == 1


def test_retry_of_a_request_does_not_return_to_a_leaving_endpoint():
    harness = harness_module.Harness(endpoints=2)
    harness.start()
    first = harness.client.sent[0]
    harness.notices.record("endpoint-0/0", _LEAVING)
    harness.notices.record("endpoint-1/0", _LEAVING)
    first.listener.receive_failure(False, "connection refused")
    assert len(harness.client.sent) == 1


def test_successor_of_a_silent_attempt_is_not_a_leaving_endpoint():
    harness = harness_module.Harness(endpoints=3)
    harness.start(harness_module.make_stream_request(harness))
    silent = harness.client.sent[0].endpoint.name
    others = sorted({"endpoint-0", "endpoint-1", "endpoint-2"} - {silent})
    harness.notices.record(f"{others[0]}/0", _LEAVING)
    harness.scheduler.advance(ms(5000))
    assert others[0] not in {each.endpoint.name for each in harness.client.sent}


def test_resumed_stream_does_not_go_on_at_a_leaving_endpoint():
    harness = harness_module.Harness(endpoints=2)
    harness.streams.record(
        dispatch.stream_version_table.find_key("engine", "stream-1"), "v1")
    for index in range(2):
        harness.notices.record(f"endpoint-{index}/0", _LEAVING)
    _, caller = harness.start(
        harness_module.make_stream_request(harness,
                                           last_event_id=4,
                                           resumed_request_id="stream-1"))
    assert not harness.client.sent
    assert caller.status == 503


def test_response_of_another_endpoint_does_not_mark_the_expected_one():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.client.sent[0].respond(421, not_run=True, leaving=True)
    assert not harness.notices.has("endpoint-0/0", _LEAVING)
    assert harness.notices.has("endpoint-0/0", _REPLACED)


def test_response_without_the_header_does_not_end_the_leaving():
    harness = harness_module.Harness(endpoints=1)
    harness.start()
    harness.start()
    first, second = harness.client.sent[0], harness.client.sent[1]
    first.respond(body=b"body", leaving=True)
    second.respond(body=b"body")
    assert not harness.list_usable()


@pytest.mark.parametrize("is_confirmed", [True, False])
def test_registration_as_ready_does_not_end_the_leaving(is_confirmed):
    harness = harness_module.Harness(endpoints=1)
    harness.notices.record("endpoint-0/0", _LEAVING)
    harness.directory.record_store_restore()
    harness.directory.set_endpoint(harness_module.make_endpoint(0, slots=9),
                                   is_confirmed)
    assert not harness.list_usable()


def test_restart_under_the_same_name_ends_the_leaving():
    harness = harness_module.Harness(endpoints=0)
    harness.directory.set_endpoint(harness_module.make_endpoint(0, started=5))
    harness.notices.record("endpoint-0/5", _LEAVING)
    assert not harness.list_usable()
    harness.directory.set_endpoint(harness_module.make_endpoint(0, started=6))
    assert harness.list_usable()


def test_endpoint_of_unknown_start_may_register_again_after_its_removal():
    harness = harness_module.Harness(endpoints=1)
    harness.notices.record("endpoint-0/0", _LEAVING)
    harness.directory.remove_endpoint("endpoint-0")
    harness.directory.set_endpoint(harness_module.make_endpoint(0))
    assert harness.list_usable()


class _Fleet:
    """VMs that exchange their notices over a network with losses."""

    def __init__(self, count, loss, seed=1):
        self.clock = timing.ManualClock()
        self._rng = random.Random(seed)
        self._loss = loss
        self.learnt = []
        self.vms = [
            dispatch.EndpointNotices(f"vm-{index}", self.clock,
                                     self.learnt.append)
            for index in range(count)
        ]

    def exchange_reports(self):
        """Lets each VM report to all others; returns the number of notices."""
        count = 0
        for sender, reports in [(vm, vm.list_reports()) for vm in self.vms]:
            for receiver in self.vms:
                for notice in reports:
                    count += 1
                    if (receiver is not sender and
                            self._rng.random() >= self._loss):
                        receiver.record_peer_notice("peer", notice)
        return count


@pytest.mark.parametrize("vms", [1, 9, 60, 195, 400])
@pytest.mark.parametrize("kind", list(dispatch.NoticeKind))
def test_one_response_tells_all_vms(vms, kind):
    fleet = _Fleet(vms, loss=0.05)
    fleet.vms[0].record("endpoint-0/5", kind, ms(5000))
    sent = 0
    for _ in range(4):
        sent += fleet.exchange_reports()
        fleet.clock.advance(ms(1000))
    assert sent <= 3 * vms
    knowing = [each for each in fleet.vms if each.has("endpoint-0/5", kind)]
    assert len(knowing) >= 0.98 * vms
    assert {each.vm for each in fleet.learnt} <= {"vm-0", "peer"}


def test_peers_do_not_repeat_what_they_were_told():
    fleet = _Fleet(3, loss=0.0)
    fleet.vms[0].record("endpoint-0/5", _LEAVING)
    fleet.exchange_reports()
    assert not fleet.vms[1].list_reports()


def test_notice_keeps_its_age_on_its_way():
    fleet = _Fleet(2, loss=0.0)
    fleet.vms[0].record("endpoint-0/5", _REPLACED)
    fleet.clock.advance(ms(900))
    fleet.exchange_reports()
    fleet.clock.advance(ms(9_050))
    assert fleet.vms[1].has("endpoint-0/5", _REPLACED)
    fleet.clock.advance(ms(100))
    fleet.vms[1].drop_expired()
    assert not fleet.vms[1].has("endpoint-0/5", _REPLACED)


def test_notices_are_bounded_in_number_and_in_a_report():
    fleet = _Fleet(1, loss=0.0)
    for index in range(10_000):
        fleet.vms[0].record(f"endpoint-{index}/5", _LEAVING)
    assert len(fleet.vms[0].list_reports()) == 64
    assert not fleet.vms[0].has("endpoint-0/5", _LEAVING)
    assert fleet.vms[0].has("endpoint-9999/5", _LEAVING)
