"""Requests that wait for an engine in a rush."""

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _fill(harness, name="endpoint-0", tokens=25_000):
    load = dispatch.EndpointLoad(prefill_tokens=tokens, requests=2)
    harness.loads.add(name, load)
    return load


def test_waiting_request_is_sent_when_its_engine_has_room():
    harness = harness_module.Harness(endpoints=1)
    load = _fill(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    assert not harness.client.sent
    harness.scheduler.advance(ms(200))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    harness.client.sent[0].answer(body=b"id: 1\ndata: a\n\n")
    assert caller.end == "complete"
    assert len(harness.context.queue) == 0


def test_request_that_can_be_on_time_goes_before_one_that_is_late():
    harness = harness_module.Harness(endpoints=1)
    load = _fill(harness)
    harness.start(harness_module.make_long_request(harness, request_id="late"))
    harness.scheduler.advance(ms(2600))
    harness.start(harness_module.make_long_request(harness,
                                                   request_id="timely"))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    assert [each.request.request_id for each in harness.client.sent
           ][0] == "timely"


def test_more_urgent_request_goes_first():
    harness = harness_module.Harness(endpoints=1)
    load = _fill(harness)
    harness.start(
        harness_module.make_long_request(harness, request_id="patient", tier=2))
    harness.start(
        harness_module.make_long_request(harness, request_id="urgent", tier=0))
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(20))
    assert harness.client.sent[0].request.request_id == "urgent"


def test_request_without_room_is_refused_with_a_time_to_come_back():
    harness = harness_module.Harness(endpoints=1)
    _fill(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    harness.scheduler.advance(ms(3300))
    assert caller.status is None
    harness.scheduler.advance(ms(100))
    assert caller.status == 503
    assert caller.refusal.retry_after is not None
    assert not harness.client.sent


def test_prompts_that_are_never_answered_do_not_block_their_engine():
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


def test_time_that_runs_out_during_the_wait_is_answered_as_not_run():
    harness = harness_module.Harness(endpoints=1)
    _fill(harness)
    expires_at = harness.clock.monotonic() + ms(1000)
    harness.placement.choose = lambda *arguments: None
    forwarding, caller = harness.start(
        harness_module.make_long_request(harness,
                                         expires_at=expires_at,
                                         first_byte_target=ms(300)))
    harness.scheduler.advance(ms(1000))
    assert caller.status == 503
    assert forwarding.is_done


def test_caller_that_leaves_waits_no_longer():
    harness = harness_module.Harness(endpoints=1)
    load = _fill(harness)
    forwarding, _ = harness.start(harness_module.make_long_request(harness))
    forwarding.handle_caller_disconnect()
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(100))
    assert not harness.client.sent


def test_key_taken_away_during_the_wait_is_noticed_at_the_send():
    harness = harness_module.Harness(endpoints=1)
    load = _fill(harness)
    _, caller = harness.start(harness_module.make_long_request(harness))
    harness.authorizer.denial = dispatch.Refusal(401, "taken away")
    harness.loads.subtract("endpoint-0", load)
    harness.scheduler.advance(ms(100))
    assert caller.status == 401
    assert not harness.client.sent


def test_rush_beyond_the_engines_serves_more_on_time_than_order_of_arrival():
    """Four times the prompts that two engines can read, for four seconds."""
    harness = harness_module.Harness(endpoints=2)
    read_time = ms(200)
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
            open_ones = [
                each for each in harness.client.sent
                if each.endpoint.name == name and not hasattr(each, "done")
            ]
            if not open_ones:
                continue
            first = open_ones[0]
            first.age = getattr(first, "age", 0) + 25
            if first.age >= read_time / ms(1):
                first.done = True
                waited = harness.clock.monotonic() - first.request.arrived_at
                if waited <= first.request.first_byte_target:
                    on_time += 1
                else:
                    late += 1
                first.answer(body=b"id: 1\ndata: a\n\n")
        harness.scheduler.advance(ms(25))
    # In order of arrival, the 25 that are read within the aim are on time.
    assert on_time >= 30
    assert on_time + late >= 45
