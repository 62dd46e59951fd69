"""Tests of cell owners that fail, decline, recover or grant late."""

import datetime

from mustardwood import configuration
from mustardwood import messages
from mustardwood import routing
from mustardwood.routing.tests import router_harness


def deliver_reply(harness, peer, cell, delay=0.0):
    harness.deliver(
        messages.OpenWorkReply(cell, 1, datetime.timedelta(seconds=delay)),
        peer)


def list_receivers(harness, kind):
    return [
        peer.ip
        for peer, each in harness.sent_messages
        if isinstance(each, kind)
    ]


def test_unresponsive_owner_is_reported_and_skipped():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    first, ask = harness.find_last_message(messages.Ask)
    harness.advance(1.1)
    timeout = harness.find_last_message(messages.SchedulerTimeout)
    assert timeout[0] == router_harness.AGENT
    assert router_harness.IPS[timeout[1].vm] == first.ip
    second, work = harness.find_last_message(messages.OpenWork)
    receivers = list_receivers(harness, messages.OpenWork)
    assert any(ip != first.ip for ip in receivers)
    assert work.cell == ask.cell
    sent_to_others = [
        each for peer, each in harness.sent_messages
        if isinstance(each, messages.OpenWork) and peer.ip != first.ip
    ]
    assert sent_to_others[-1].waiting[0].request_id == "r1"
    del second


def test_running_attempts_are_sent_to_next_owner():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    first = harness.find_last_message(messages.Ask)[0]
    harness.grant_last_ask()
    harness.send_head()
    harness.send_token("a")
    harness.advance(1.5)
    sent_to_others = [
        each for peer, each in harness.sent_messages
        if isinstance(each, messages.OpenWork) and peer.ip != first.ip
    ]
    assert sent_to_others[-1].running[0].endpoint == "e1"
    harness.finish_stream("b")
    assert harness.read_text() == "ab"


def test_preferred_owner_is_used_again_after_reply():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    first, ask = harness.find_last_message(messages.Ask)
    harness.advance(1.1)
    deliver_reply(harness, first, ask.cell)
    assert harness.find_last_message(messages.OpenWork)[0] == first
    harness.submit_completion("r2")
    assert harness.find_last_message(messages.Ask, "r2")[0] == first


def test_owner_with_long_queue_is_kept_while_it_replies():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    owner, ask = harness.find_last_message(messages.Ask)
    for _ in range(20):
        harness.advance(0.5)
        deliver_reply(harness, owner, ask.cell)
    assert harness.find_last_message(messages.SchedulerTimeout) == (None, None)
    assert set(list_receivers(harness, messages.OpenWork)) == {owner.ip}
    assert not harness.started_attempts


def test_declining_owner_is_skipped_immediately():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    first, ask = harness.find_last_message(messages.Ask)
    harness.deliver(
        messages.Refusal("r1", 1, ask.cell, messages.RefusalReason.STOPPING,
                         datetime.timedelta()), first)
    peer, work = harness.find_last_message(messages.OpenWork)
    assert peer.ip != first.ip
    assert work.waiting[0].request_id == "r1"
    assert not harness.errors
    deliver_reply(harness, first, ask.cell)
    assert harness.find_last_message(messages.OpenWork)[0].ip != first.ip
    for _ in range(8):
        harness.advance(0.5)
        deliver_reply(harness, peer, ask.cell)
    assert first.ip not in list_receivers(harness, messages.OpenWork)


def test_local_grants_follow_tier_order_without_owners():
    document = router_harness.make_document(endpoints=1)
    harness = router_harness.RouterHarness(document)
    for number in range(3):
        harness.submit_completion(f"low{number}",
                                  request_class=document.classes[1])
    for number in range(2):
        harness.submit_completion(f"high{number}")
    harness.advance(2.2)
    assert [each.request_id for each in harness.started_attempts
           ] == ["high0", "high1"]
    harness.send_head(harness.started_attempts[0])
    harness.finish_stream("x", harness.started_attempts[0])
    harness.advance(0.1)
    assert harness.started_attempts[-1].request_id == "low0"


def test_grant_after_caller_disconnect_is_withdrawn():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    owner, ask = harness.find_last_message(messages.Ask)
    harness.execute(harness.router.handle_caller_disconnect("r1"))
    harness.sent_messages.clear()
    harness.deliver(messages.Grant("r1", 1, ask.cell, "e1", 0), owner)
    withdrawal = messages.Withdrawal("r1", 1, ask.cell)
    assert harness.sent_messages == [(owner, withdrawal)]
    assert not harness.started_attempts


def test_second_grant_by_another_owner_is_withdrawn():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    owner, ask = harness.find_last_message(messages.Ask)
    harness.grant_last_ask()
    other = messages.Peer("127.0.0.9", messages.Role.SCHEDULER)
    before = len(harness.sent_messages)
    harness.grant_last_ask(endpoint="e2", peer=other)
    assert harness.sent_messages[before:] == [
        (other, messages.Withdrawal("r1", 1, ask.cell))
    ]
    harness.grant_last_ask(peer=owner)
    assert len(harness.sent_messages) == before + 1
    assert len(harness.started_attempts) == 1


def test_grant_of_leaving_endpoint_is_not_used():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    harness.deliver_view(version=2, leaving=("e1",))
    harness.grant_last_ask()
    assert not harness.started_attempts
    ask = harness.find_last_message(messages.Ask)[1]
    assert ask.attempt == 2
    assert ask.excluded == ("e1",)


def test_grant_of_endpoint_configured_as_leaving_is_not_used():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    old = harness.document.endpoints[0]
    marked = configuration.Endpoint(old.name,
                                    old.serves,
                                    old.url,
                                    old.zone,
                                    old.region,
                                    state=configuration.EndpointState.LEAVING)
    harness.document = configuration.Document(
        classes=harness.document.classes,
        default_class="tag",
        organisations=harness.document.organisations,
        models=harness.document.models,
        services=harness.document.services,
        endpoints=(marked,) + harness.document.endpoints[1:])
    harness.deliver_view(version=2)
    harness.grant_last_ask()
    assert not harness.started_attempts


def test_older_configuration_is_ignored():
    harness = router_harness.RouterHarness()
    harness.deliver_view(version=5)
    harness.deliver_view(version=4)
    assert harness.router.view.version == 5
    assert harness.find_last_message(messages.ViewAck)[1].version == 5


def test_queue_full_refusal_ends_request_with_retry_after():
    harness = router_harness.RouterHarness()
    harness.submit_completion()
    owner, ask = harness.find_last_message(messages.Ask)
    harness.deliver(
        messages.Refusal("r1", 1, ask.cell, messages.RefusalReason.QUEUE_FULL,
                         datetime.timedelta(seconds=7)), owner)
    error = harness.errors["r1"]
    assert error.status == 429
    assert error.retry_after == datetime.timedelta(seconds=7)
    assert harness.router.find_phase("r1") is routing.RequestPhase.ENDED


def test_cell_with_shorter_queue_is_picked():
    harness = router_harness.RouterHarness(
        router_harness.make_document(endpoints=20))
    delays = {"m/r/0": 9.0, "m/r/1": 1.0}
    for cell, delay in delays.items():
        for ip in router_harness.IPS.values():
            deliver_reply(harness, messages.Peer(ip, messages.Role.SCHEDULER),
                          cell, delay)
    for number in range(5):
        harness.submit_completion(f"r{number}")
        assert harness.find_last_message(messages.Ask)[1].cell == "m/r/1"
