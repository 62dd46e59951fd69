"""Tests of requests that crash endpoints."""

import datetime

from mustardwood import errors
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import router_harness

_LOST = routing.AttemptEnd.LOST


def crash_endpoint(harness, endpoint):
    """Loses every connection to an endpoint."""
    running = [
        each for each in harness.started_attempts
        if each.endpoint.name == endpoint and harness.router.find_phase(
            each.request_id) in (routing.RequestPhase.SENDING,
                                 routing.RequestPhase.STREAMING)
    ]
    for each in running:
        harness.end_exchange(_LOST, each)


def test_poison_request_is_blocked_after_two_crashes_and_others_run():
    harness = router_harness.RouterHarness()
    for name in ("poison", "harmless"):
        harness.submit_completion(name)
        harness.grant_last_ask(name, "e1")
    crash_endpoint(harness, "e1")
    report = harness.find_last_message(messages.CrashReport)[1]
    assert report.fingerprints == ("f-harmless", "f-poison")
    receivers = {
        peer for peer, each in harness.sent_messages
        if isinstance(each, messages.CrashReport)
    }
    assert receivers == {
        messages.Peer(ip, messages.Role.AGENT)
        for ip in router_harness.IPS.values()
    }
    harness.advance_until_ask("poison")
    harness.advance_until_ask("harmless")
    assert harness.find_last_message(messages.Ask, "poison")[1].suspect
    harness.grant_last_ask("poison", "e2")
    harness.grant_last_ask("harmless", "e3")
    crash_endpoint(harness, "e2")
    notice = harness.find_last_message(messages.RequestBlockNotice)[1]
    assert [each.fingerprint for each in notice.convictions] == ["f-poison"]
    error = harness.errors["poison"]
    assert error.request_code is errors.RequestCode.SUSPECTED_POISON
    assert error.retry_after > datetime.timedelta()
    harness.send_head(harness.started_attempts[-1])
    harness.finish_stream("fine", harness.started_attempts[-1])
    assert harness.read_text("harmless") == "fine"
    harness.submit_completion("again", prompt="poison")
    assert harness.errors["again"].status == 422
    assert harness.errors["again"].ran is errors.RunState.NOT_RUN


def test_crash_with_two_suspects_blocks_neither():
    harness = router_harness.RouterHarness()
    harness.deliver_view(version=2, suspects=("f-a", "f-b"))
    for name in ("a", "b"):
        harness.submit_completion(name)
        harness.grant_last_ask(name, "e1")
    crash_endpoint(harness, "e1")
    assert harness.find_last_message(messages.RequestBlockNotice) == (None,
                                                                      None)
    assert not harness.errors


def test_suspect_reported_by_another_vm_is_blocked_after_next_crash():
    harness = router_harness.RouterHarness()
    harness.deliver_view(version=2, suspects=("f-a",))
    for name in ("a", "b"):
        harness.submit_completion(name)
        harness.grant_last_ask(name, "e1")
    crash_endpoint(harness, "e1")
    assert harness.errors["a"].status == 422
    assert "b" not in harness.errors


def test_conviction_in_view_refuses_waiting_and_new_requests():
    harness = router_harness.RouterHarness()
    harness.submit_completion("a")
    until = harness.clock.now() + datetime.timedelta(minutes=5)
    harness.deliver_view(version=2,
                         convictions=(messages.RequestBlock("f-a", until),))
    assert harness.errors["a"].status == 422
    sent = len(harness.sent_messages)
    harness.submit_completion("b", prompt="a", idempotency_key="k")
    assert harness.errors["b"].status == 422
    assert len(harness.sent_messages) == sent
    assert not harness.claim_commands


def test_block_ends_after_its_duration():
    harness = router_harness.RouterHarness()
    until = harness.clock.now() + datetime.timedelta(minutes=5)
    harness.deliver_view(version=2,
                         convictions=(messages.RequestBlock("f-a", until),))
    harness.clock.advance(datetime.timedelta(minutes=5))
    harness.submit_completion("a")
    assert not harness.errors


def test_suspects_do_not_share_endpoint_without_owner():
    harness = router_harness.RouterHarness(
        router_harness.make_document(endpoints=1))
    harness.deliver_view(version=2, suspects=("f-a", "f-b"))
    harness.submit_completion("a")
    harness.submit_completion("b")
    harness.advance(2.2)
    assert [each.request_id for each in harness.started_attempts] == ["a"]
    harness.send_head()
    harness.finish_stream("x")
    harness.advance(0.1)
    assert [each.request_id for each in harness.started_attempts] == ["a", "b"]
