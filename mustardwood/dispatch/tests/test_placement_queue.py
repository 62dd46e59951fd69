"""Tests of the queue of requests that wait for an engine."""

import functools

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _fill_engine(harness, name="endpoint-0", tokens=25_000):
    load = dispatch.EndpointLoad(prefill_tokens=tokens, requests=2)
    harness.loads.add(name, load)
    return load


def test_waiting_request_is_sent_when_its_engine_has_capacity():
    harness = harness_module.Harness(endpoints=1)
    load = _fill_engine(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    assert not harness.client.sent
    harness.scheduler.advance(ms(200))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    harness.client.sent[0].respond(body=b"id: 1\ndata: a\n\n")
    assert caller.end == "complete"
    assert len(harness.context.queue) == 0


def test_request_that_can_be_on_time_is_sent_before_a_late_one():
    harness = harness_module.Harness(endpoints=1)
    load = _fill_engine(harness)
    harness.start(harness_module.make_long_request(harness, request_id="late"))
    harness.scheduler.advance(ms(2600))
    harness.start(harness_module.make_long_request(harness,
                                                   request_id="timely"))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    assert [each.request.request_id for each in harness.client.sent
           ][0] == "timely"


def test_more_urgent_request_is_sent_first():
    harness = harness_module.Harness(endpoints=1)
    load = _fill_engine(harness)
    harness.start(
        harness_module.make_long_request(harness, request_id="patient", tier=2))
    harness.start(
        harness_module.make_long_request(harness, request_id="urgent", tier=0))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    assert harness.client.sent[0].request.request_id == "urgent"


def test_request_that_waits_too_long_is_refused_with_retry_after():
    harness = harness_module.Harness(endpoints=1)
    _fill_engine(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    harness.scheduler.advance(ms(3300))
    assert caller.status is None
    harness.scheduler.advance(ms(100))
    assert caller.status == 503
    assert caller.refusal.retry_after is not None
    assert not harness.client.sent


def test_stalled_prompts_do_not_block_their_engine():
    harness = harness_module.Harness(endpoints=1)
    for index in range(2):
        harness.start(
            harness_module.make_long_request(harness,
                                             request_id=f"hung-{index}"))
    _, caller = harness.start(
        harness_module.make_long_request(harness, request_id="next"))
    assert len(harness.client.sent) == 2
    harness.scheduler.advance(ms(2600))
    assert [each.request.request_id for each in harness.client.sent
           ][2:] == ["next"]
    assert harness.health.find_failure_rate("endpoint-0") > 0
    assert not any(each.is_aborted for each in harness.client.sent)
    assert caller.status is None


def test_request_with_a_short_deadline_is_refused_in_the_queue():
    harness = harness_module.Harness(endpoints=1)
    _fill_engine(harness)
    expires_at = harness.clock.monotonic() + ms(1000)
    harness.placement.choose = (
        lambda *arguments: dispatch.PlacementLimit.SLOTS)
    forwarding, caller = harness.start(
        harness_module.make_long_request(harness,
                                         expires_at=expires_at,
                                         first_byte_target=ms(300)))
    harness.scheduler.advance(ms(1000))
    assert caller.status == 503
    assert forwarding.is_done


def test_request_leaves_the_queue_when_its_caller_disconnects():
    harness = harness_module.Harness(endpoints=1)
    load = _fill_engine(harness)
    forwarding, _ = harness.start(harness_module.make_long_request(harness))
    forwarding.handle_caller_disconnect()
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(100))
    assert not harness.client.sent


def test_key_removed_while_waiting_is_rejected_at_the_send():
    harness = harness_module.Harness(endpoints=1)
    load = _fill_engine(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(100))
    assert caller.status == 401
    assert not harness.client.sent


def test_overload_serves_more_on_time_than_arrival_order():
    """For four seconds, two engines get four times what they can prefill.

    In order of arrival, requests would be sent although they are late already,
    and those behind them would become late as well.
    """
    harness = harness_module.Harness(endpoints=2)
    prefill_time = ms(200)
    on_time, late = 0, 0
    callers = []
    for step in range(200):
        if step < 160:
            callers.append(
                harness.start(
                    harness_module.make_long_request(
                        harness,
                        prefix_key=f"s-{step % 7}",
                        request_id=f"r-{step}"))[1])
        for name in ("endpoint-0", "endpoint-1"):
            open_attempts = [
                each for each in harness.client.sent
                if each.endpoint.name == name and not hasattr(each, "done")
            ]
            if not open_attempts:
                continue
            first = open_attempts[0]
            first.age = getattr(first, "age", 0) + 25
            if first.age >= prefill_time / ms(1):
                first.done = True
                waited = harness.clock.monotonic() - first.request.arrived_at
                if waited <= first.request.first_byte_target:
                    on_time += 1
                else:
                    late += 1
                first.respond(body=b"id: 1\ndata: a\n\n")
        harness.scheduler.advance(ms(25))
    # In order of arrival, only the 25 that are prefilled within the target are
    # on time.
    assert on_time >= 30
    assert on_time + late >= 45


def test_error_in_one_retry_does_not_stop_the_others():
    harness = harness_module.Harness()
    retried = []

    def raise_error():
        harness.queue.remove(broken)
        raise RuntimeError("unforeseen")

    def record_retry():
        retried.append(sound)
        return True

    broken = harness_module.make_request(harness, tier=0)
    sound = harness_module.make_request(harness, tier=1)
    harness.queue.add(broken, raise_error)
    harness.queue.add(sound, record_retry)
    with pytest.raises(RuntimeError):
        harness.scheduler.advance(ms(20))
    harness.scheduler.advance(ms(20))
    assert retried == [sound]


@pytest.mark.parametrize("is_silent", [True, False])
def test_streams_that_wait_for_room_do_not_hold_up_other_requests(is_silent):
    """Streams that have begun wait until their deadline, new ones briefly."""
    harness = harness_module.Harness(endpoints=2, slots=12)
    full = dispatch.EndpointLoad(requests=200)
    for _ in range(8):
        harness.start(harness_module.make_stream_request(harness, tier=0))
        stream = harness.client.sent[-1]
        stream.begin()
        stream.listener.receive_data(b"id: 1\ndata: a\n\n")
    for endpoint in ("endpoint-0", "endpoint-1"):
        harness.loads.add(endpoint, full)
    if is_silent:
        harness.scheduler.advance(ms(1300))
    else:
        for stream in list(harness.client.sent):
            stream.listener.receive_failure(True, "reset")
    sent = len(harness.client.sent)
    harness.directory.set_endpoint(
        harness_module.make_endpoint(5, slots=12, service="other"))
    harness.loads.add("endpoint-5", full)
    harness.start(
        harness_module.make_stream_request(harness, tier=1, service="other"))
    harness.scheduler.advance(ms(50))
    harness.loads.subtract("endpoint-5", full)
    harness.scheduler.advance(ms(100))
    assert [each.endpoint.name for each in harness.client.sent[sent:]
           ] == ["endpoint-5"]


def test_each_stream_that_waits_for_room_is_tried_in_turn():
    """One of many may be the only one that could be placed."""
    harness = harness_module.Harness()
    tried = []
    for number in range(9):
        request = harness_module.make_request(harness)
        harness.queue.add(request,
                          functools.partial(tried.append, number),
                          has_begun=True)
    harness.scheduler.advance(ms(200))
    assert set(tried) == set(range(9))
