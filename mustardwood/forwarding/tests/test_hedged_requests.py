"""Tests of the two attempts of a hedged request."""

import datetime

import pytest

from mustardwood import dispatch
from mustardwood.dispatch.tests import harness as harness_module
from mustardwood.forwarding.tests import hedge_harness

ms = harness_module.ms
_EVENT = b"id: 1\ndata: a\n\n"


def test_slow_request_is_sent_to_a_second_endpoint_after_the_delay():
    """Failure: an endpoint stalls, and its requests wait for the stall
    timeout of 800 ms while others are free."""
    harness = hedge_harness.HedgeHarness()
    harness.start()
    harness.scheduler.advance(ms(49))
    assert len(harness.client.sent) == 1
    harness.scheduler.advance(ms(1))
    assert len(set(harness.endpoints)) == 2


def test_fast_request_is_not_hedged():
    """Failure: each request runs twice."""
    harness = hedge_harness.HedgeHarness()
    _, caller = harness.start()
    harness.scheduler.advance(ms(30))
    harness.client.sent[0].respond(body=b"data")
    harness.scheduler.advance(ms(1000))
    assert len(harness.client.sent) == 1
    assert caller.end == "complete"


@pytest.mark.parametrize("winner", (0, 1))
def test_first_response_wins_and_the_other_attempt_is_aborted(winner):
    """Failure: both endpoints work on, or the caller gets both responses."""
    harness = hedge_harness.HedgeHarness()
    _, caller, *attempts = harness.start_hedged()
    attempts[winner].begin()
    attempts[winner].listener.receive_data(b"da")
    assert attempts[1 - winner].is_aborted
    attempts[1 - winner].respond(body=b"other")
    attempts[winner].listener.receive_data(b"ta")
    attempts[winner].listener.receive_end()
    assert (caller.status, caller.body, caller.end) == (200, b"data",
                                                        "complete")
    assert not attempts[winner].is_aborted
    assert not harness.loads.list_own_loads()
    assert harness.hedging.wins == winner
    assert sorted(harness.metrics.attempts) == ["cancelled", "complete"]


@pytest.mark.parametrize("winner", (0, 1))
def test_response_without_a_body_wins(winner):
    """Failure: an empty response has no first byte, and both run on."""
    harness = hedge_harness.HedgeHarness()
    _, caller, *attempts = harness.start_hedged()
    attempts[winner].respond(status=204)
    assert attempts[1 - winner].is_aborted
    assert (caller.status, caller.end) == (204, "complete")


@pytest.mark.parametrize("winner", (0, 1))
def test_both_respond_at_the_same_time(winner):
    """Failure: the second response, which was read with the first, is
    forwarded, too."""
    harness = hedge_harness.HedgeHarness()
    _, caller, *attempts = harness.start_hedged()
    attempts[winner].respond(body=b"one")
    attempts[1 - winner].respond(body=b"two")
    assert (caller.body, caller.end) == (b"one", "complete")


@pytest.mark.parametrize(("status", "verified"),
                         ((500, True), (503, True), (200, False)))
@pytest.mark.parametrize("bad", (0, 1))
def test_unsound_response_does_not_win(bad, status, verified):
    """Failure: the endpoint that fails fast beats the one that works."""
    harness = hedge_harness.HedgeHarness()
    _, caller, *attempts = harness.start_hedged()
    attempts[bad].respond(status=status, body=b"bad", verified=verified)
    assert not attempts[1 - bad].is_aborted
    attempts[1 - bad].respond(body=b"good")
    assert (caller.status, caller.body) == (200, b"good")
    assert len(harness.client.sent) == 2


def test_sound_error_response_wins():
    """Failure: a caller's invalid request waits for the slow endpoint."""
    harness = hedge_harness.HedgeHarness()
    _, caller, first, second = harness.start_hedged()
    second.respond(status=404, body=b"none")
    assert (caller.status, caller.body) == (404, b"none")
    assert first.is_aborted


@pytest.mark.parametrize("order", ((0, 1), (1, 0)))
def test_both_attempts_fail(order):
    """Failure: the request runs a third time, or its caller waits in vain."""
    harness = hedge_harness.HedgeHarness()
    forwarding, caller, *attempts = harness.start_hedged()
    for each in order:
        attempts[each].listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    assert (caller.status, caller.end) == (502, "complete")
    assert forwarding.is_done
    assert not harness.loads.list_own_loads()
    assert harness.hedging.wins == 0


@pytest.mark.parametrize("order", ((0, 1), (1, 0)))
def test_request_that_neither_endpoint_ran_is_refused_as_not_run(order):
    """Failure: a 502 says that it may have run, and its caller gives up."""
    harness = hedge_harness.HedgeHarness(endpoints=2)
    _, caller, *attempts = harness.start_hedged()
    for each in order:
        attempts[each].respond(status=503, not_run=True)
    assert caller.status == 503


@pytest.mark.parametrize("order", ((0, 1), (1, 0)))
def test_attempt_that_did_not_run_does_not_count(order):
    """Failure: the endpoint that refused uses up the only other attempt."""
    harness = hedge_harness.HedgeHarness()
    _, caller, *attempts = harness.start_hedged()
    attempts[order[0]].listener.receive_failure(False, "refused")
    attempts[order[1]].listener.receive_failure(True, "reset")
    harness.client.sent[2].respond(body=b"data")
    assert (caller.status, caller.body) == (200, b"data")


def test_failed_hedge_leaves_the_stall_timeout_of_the_first():
    """Failure: the first attempt is given the whole stall timeout again."""
    harness = hedge_harness.HedgeHarness()
    request = harness_module.make_request(harness, max_runs=3)
    _, _, first, second = harness.start_hedged(request)
    harness.scheduler.advance(ms(100))
    second.listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    harness.scheduler.advance(ms(640))
    assert len(harness.client.sent) == 2
    harness.scheduler.advance(ms(20))
    assert len(harness.client.sent) == 3
    harness.scheduler.advance(ms(260))
    assert first.is_aborted


def test_hedge_takes_a_stalled_attempt_over():
    """Failure: the endpoint that stalls keeps the request and its good name,
    or a third endpoint gets the request."""
    harness = hedge_harness.HedgeHarness()
    _, caller, first, second = harness.start_hedged()
    harness.scheduler.advance(ms(760))
    assert first.is_aborted
    assert harness.health.is_avoided(first.endpoint.name)
    assert not second.is_aborted
    assert len(harness.client.sent) == 2
    second.respond(body=b"data")
    assert caller.body == b"data"


def test_hedge_without_a_connection_does_not_take_over():
    """Failure: the attempt that may go on is cut, and the other endpoint is
    not reachable."""
    harness = hedge_harness.HedgeHarness()
    harness.client.is_connected = False
    _, caller, first, second = harness.start_hedged()
    harness.scheduler.advance(ms(770))
    assert not first.is_aborted
    second.listener.receive_failure(False, "no connection in time")
    first.respond(body=b"data")
    assert caller.body == b"data"


def test_request_that_is_no_longer_allowed_is_not_hedged():
    """Failure: a removed API key gets a request to a second endpoint."""
    harness = hedge_harness.HedgeHarness()
    harness.start()
    harness.authorizer.denial = dispatch.Refusal(403, "key_removed", "")
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1


def test_at_most_one_attempt_stays_open_after_the_stall_timeouts():
    """Failure: an attempt is forgotten while it is open, and runs on."""
    harness = hedge_harness.HedgeHarness()
    harness.client.is_connected = False
    request = harness_module.make_request(harness, max_runs=4)
    forwarding, _, *_ = harness.start_hedged(request)
    harness.scheduler.advance(ms(9_949))
    assert sum(not each.is_aborted for each in harness.client.sent) <= 2
    forwarding.handle_caller_disconnect()
    assert all(each.is_aborted for each in harness.client.sent)
    assert not harness.loads.list_own_loads()


def test_caller_that_disconnects_ends_both_attempts():
    """Failure: the work of a caller that has left goes on at an endpoint."""
    harness = hedge_harness.HedgeHarness()
    forwarding, _, first, second = harness.start_hedged()
    forwarding.handle_caller_disconnect()
    assert first.is_aborted and second.is_aborted
    assert not harness.loads.list_own_loads()
    second.respond(body=b"late")
    assert harness.metrics.requests == [("caller_gone", 0)]


def test_caller_that_disconnects_before_the_delay_is_not_hedged():
    """Failure: a timer sends the request of a caller that has left."""
    harness = hedge_harness.HedgeHarness()
    forwarding, _ = harness.start()
    forwarding.handle_caller_disconnect()
    harness.scheduler.advance(ms(1000))
    assert len(harness.client.sent) == 1


def test_deadline_ends_both_attempts():
    """Failure: an endpoint works on a request that is no longer waited for."""
    harness = hedge_harness.HedgeHarness()
    request = harness_module.make_request(harness,
                                          expires_at=harness.clock.monotonic() +
                                          ms(120))
    _, caller, first, second = harness.start_hedged(request)
    harness.scheduler.advance(ms(70))
    assert first.is_aborted and second.is_aborted
    assert caller.status == 504


def test_unexpected_error_ends_both_attempts():
    """Failure: an error of the router leaves a request running."""
    harness = hedge_harness.HedgeHarness()
    forwarding, caller, first, second = harness.start_hedged()
    forwarding.handle_error(RuntimeError("unforeseen"))
    assert first.is_aborted and second.is_aborted
    assert caller.status == 502


def test_request_that_may_run_once_is_never_hedged():
    """Failure: a payment is made twice."""
    harness = hedge_harness.HedgeHarness()
    harness.start(
        harness_module.make_request(
            harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE,
            max_runs=2))
    harness.start(
        harness_module.make_stream_request(
            harness, retry_policy=dispatch.RetryPolicy.AT_MOST_ONCE,
            max_runs=2))
    harness.scheduler.advance(ms(5000))
    assert len(harness.client.sent) == 2
    assert harness.hedging.sent == 0


def test_hedge_counts_as_an_attempt():
    """Failure: a request runs more often than its route allows."""
    harness = hedge_harness.HedgeHarness()
    harness.start(harness_module.make_request(harness, max_runs=1))
    harness.scheduler.advance(ms(500))
    assert len(harness.client.sent) == 1


def test_request_is_hedged_once():
    """Failure: a request goes to one endpoint after another every 50 ms."""
    harness = hedge_harness.HedgeHarness(endpoints=6)
    harness.start(harness_module.make_request(harness, max_runs=6))
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 2


def test_request_that_both_endpoints_refused_is_not_hedged_again():
    """Failure: a request that endpoints refuse is sent to them in pairs."""
    harness = hedge_harness.HedgeHarness(endpoints=6)
    request = harness_module.make_request(harness, max_runs=6)
    _, _, first, second = harness.start_hedged(request)
    first.respond(status=503, not_run=True)
    second.respond(status=503, not_run=True)
    assert len(harness.client.sent) == 3
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 3


def test_stalled_attempt_is_taken_over_and_not_hedged():
    """Failure: a stalled request that waits in the queue is sent twice, by
    the queue and by its hedge, and one attempt is forgotten."""
    harness = hedge_harness.HedgeHarness(share=0.02,
                                         requests=49,
                                         retry_burst=0.0)
    budgets = harness.context.retry_budgets
    while budgets.take_retry("engine", 1.0):
        pass
    harness.start()
    harness.scheduler.advance(ms(810))
    assert len(harness.client.sent) == 1
    for _ in range(24):
        harness.hedging.record_request("engine")
        budgets.add_request("engine")
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == 1


def test_stream_is_hedged_before_its_first_event():
    """Failure: a stalled engine delays the first token by 1.2 s."""
    harness = hedge_harness.HedgeHarness()
    _, caller, first, second = harness.start_hedged_stream()
    second.begin()
    second.listener.receive_data(_EVENT)
    assert first.is_aborted
    second.listener.receive_end()
    assert (caller.body, caller.end) == (_EVENT, "complete")


def test_begun_stream_is_not_hedged():
    """Failure: two engines continue one stream."""
    harness = hedge_harness.HedgeHarness()
    harness.start(harness_module.make_stream_request(harness))
    first = harness.client.sent[0]
    first.begin()
    first.listener.receive_data(_EVENT)
    harness.scheduler.advance(ms(1100))
    assert len(harness.client.sent) == 1


def test_resumed_stream_is_not_hedged():
    """Failure: a stream that is past its first event runs at two engines."""
    harness = hedge_harness.HedgeHarness()
    harness.streams.record(
        dispatch.stream_version_table.find_key("engine", "id-first"), "v1")
    harness.start(
        harness_module.make_stream_request(harness,
                                           last_event_id=3,
                                           resumed_request_id="id-first"))
    assert len(harness.client.sent) == 1
    harness.scheduler.advance(ms(400))
    assert len(harness.client.sent) == 1


@pytest.mark.parametrize("version", ("v2", ""))
def test_stream_is_not_hedged_at_another_software_version(version):
    """Failure: what two versions write for one stream does not fit together."""
    harness = hedge_harness.HedgeHarness(endpoints=0)
    for index, each in enumerate(("v1", version)):
        harness.set_endpoint(index, version=each)
    harness.journal_of_streams.is_recorded = lambda service, each: True
    harness.start(harness_module.make_stream_request(harness))
    harness.scheduler.advance(ms(400))
    assert len(harness.client.sent) == 1


def test_part_of_an_event_of_the_loser_is_not_forwarded():
    """Failure: the rest of one attempt's event is joined with the other's."""
    harness = hedge_harness.HedgeHarness()
    _, caller, first, second = harness.start_hedged_stream()
    first.begin()
    first.listener.receive_data(b"id: 1\nda")
    assert second.is_aborted
    second.listener.receive_data(_EVENT)
    first.listener.receive_data(b"ta: b\n\n")
    first.listener.receive_end()
    assert caller.body == b"id: 1\ndata: b\n\n"


def _pause(harness, endpoint):
    harness.pauses.record_response(endpoint, dispatch.PauseStatement(ms(2000)))


def _pause_at_peer(harness, endpoint):
    harness.notices.record(endpoint.incarnation, dispatch.NoticeKind.PAUSED,
                           ms(2000))


def _limit_rate(harness, endpoint):
    harness.rate_limits.record_response(endpoint, dispatch.RateStatement(50.0),
                                        True)


def _announce_leaving(harness, endpoint):
    harness.notices.record(endpoint.incarnation, dispatch.NoticeKind.LEAVING)


def _fail(harness, endpoint):
    harness.health.record_failure(endpoint.name)


def _crash(harness, endpoint):
    harness.health.record_unreachable(endpoint.name)


def _remove(harness, endpoint):
    harness.directory.remove_endpoint(endpoint.name)


@pytest.mark.parametrize("disturb", (_pause, _pause_at_peer, _limit_rate,
                                     _announce_leaving, _fail, _crash, _remove))
def test_disturbed_endpoint_gets_no_hedged_requests(disturb):
    """Failure: hedged requests disturb an endpoint in need, or are lost."""
    harness = hedge_harness.HedgeHarness(endpoints=2)
    harness.start()
    other = next(each for each in harness.list_usable()
                 if each.name != harness.endpoints[0])
    disturb(harness, other)
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1
    assert harness.rate_limits.refusal_count == 0


def test_request_is_not_hedged_while_few_slots_are_free():
    """Failure: hedged requests take the last slots in a burst."""
    harness = hedge_harness.HedgeHarness(endpoints=2, slots=10)
    for each in harness.list_usable():
        harness.loads.add(each.name, dispatch.EndpointLoad(requests=9))
    harness.start()
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == 1
    for each in harness.list_usable():
        harness.loads.subtract(each.name, dispatch.EndpointLoad(requests=5))
    harness.scheduler.advance(ms(30))
    assert len(harness.client.sent) == 2


def test_request_of_a_refused_tier_is_not_hedged():
    """Failure: an overload is answered with more load of the same tier."""
    harness = hedge_harness.HedgeHarness()
    harness.admission.is_refusing = lambda request: True
    harness.start()
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1


def test_request_is_not_hedged_while_a_more_urgent_one_waits():
    """Failure: an urgent request waits for the slot of a hedged one."""
    harness = hedge_harness.HedgeHarness()
    urgent = harness_module.make_request(harness, tier=0)
    harness.start()
    harness.queue.add(urgent, lambda: False)
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == 1


def test_suspected_request_is_not_hedged():
    """Failure: a request that crashes engines crashes two at a time."""
    harness = hedge_harness.HedgeHarness()
    harness.start()
    harness.client.sent[0].listener.receive_failure(True, "reset")
    assert len(harness.client.sent) == 2
    harness.start()
    harness.scheduler.advance(ms(500))
    assert len(harness.client.sent) == 3


def test_suspected_part_of_a_prompt_is_not_hedged():
    """Failure: a part of prompts that crashes engines crashes two at a time."""
    harness = hedge_harness.HedgeHarness(endpoints=4)
    harness.start(harness_module.make_stream_request(harness, target="/1"))
    crashed = harness.client.sent[0]
    crashed.begin()
    crashed.listener.receive_failure(True, "reset")
    count = len(harness.client.sent)
    harness.start(harness_module.make_stream_request(harness, target="/2"))
    harness.scheduler.advance(ms(300))
    assert len(harness.client.sent) == count + 1


def test_long_prompt_is_not_hedged():
    """Failure: 12,000 tokens are prefilled twice, and delay all streams."""
    harness = hedge_harness.HedgeHarness()
    harness.start(
        harness_module.make_long_request(
            harness, retry_policy=dispatch.RetryPolicy.RESUMABLE))
    harness.scheduler.advance(ms(1500))
    assert len(harness.client.sent) == 1


def test_share_limits_the_hedged_requests():
    """Failure: all requests run twice while an endpoint is slow."""
    harness = hedge_harness.HedgeHarness(share=0.02, requests=100)
    for number in range(8):
        harness.start(harness_module.make_request(harness, target=f"/{number}"))
    harness.scheduler.advance(ms(700))
    # 100 requests before and 8 now allow two.
    assert len(harness.client.sent) == 10
    assert harness.hedging.sent == 2


def test_request_without_budget_is_hedged_when_there_is_some():
    """Failure: the requests that wait longest get none of a small budget."""
    harness = hedge_harness.HedgeHarness(share=0.02, requests=40)
    harness.start()
    harness.scheduler.advance(ms(200))
    assert len(harness.client.sent) == 1
    for _ in range(10):
        harness.hedging.record_request("engine")
    harness.scheduler.advance(ms(30))
    assert len(harness.client.sent) == 2


def test_hedging_that_is_off_changes_nothing():
    """Failure: a deployment that configures nothing is served differently."""
    harness = hedge_harness.HedgeHarness(share=0.0)
    harness.start()
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1
    harness.client.sent[0].respond(body=b"data")
    assert "hedge" not in harness.request_line
    assert harness.hedging.find_delay("route") is None


def test_route_without_known_times_is_not_hedged():
    """Failure: a VM that has just started hedges without knowing the route."""
    harness = hedge_harness.HedgeHarness()
    harness.start(harness_module.make_request(harness, route="new"))
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1


def test_suspended_vm_reads_what_has_arrived_before_it_hedges():
    """Failure: a VM that was suspended hedges all its open requests."""
    harness = hedge_harness.HedgeHarness()
    harness.start()
    harness.scheduler.call_later(ms(49), lambda: harness.clock.advance(ms(500)))
    harness.scheduler.call_later(
        ms(50), lambda: harness.client.sent[0].respond(body=b"data"))
    harness.scheduler.advance(ms(700))
    assert len(harness.client.sent) == 1


def test_log_tells_why_where_who_won_and_what_it_cost():
    """Failure: nobody can tell whether hedging pays."""
    harness = hedge_harness.HedgeHarness()
    _, _, first, second = harness.start_hedged()
    harness.scheduler.advance(ms(30))
    second.respond(body=b"data")
    assert harness.request_line["hedge"] == {
        "reason": "slow",
        "first": first.endpoint.name,
        "second": second.endpoint.name,
        "after_ms": 50,
        "prefill_tokens": 0,
        "won": True,
        "wasted_ms": 30,
    }
    assert [each["end"] for each in harness.request_line["attempts"]
           ] == ["other endpoint answered first", "complete"]
    assert harness.hedging.sent == harness.hedging.wins == 1
    assert harness.hedging.wasted == datetime.timedelta(milliseconds=30)


def test_slow_attempts_that_were_cancelled_keep_the_delay():
    """Failure: only fast responses are counted, the quantile falls, and more
    and more requests are hedged."""
    harness = hedge_harness.HedgeHarness(share=0.1, requests=100)
    for number in range(7):
        request = harness_module.make_request(harness, target=f"/{number}")
        _, _, _, second = harness.start_hedged(request)
        harness.scheduler.advance(ms(40))
        second.respond(body=b"data")
        for _ in range(10):
            harness.hedging.record_request("engine")
        # The endpoint that lost gets no hedged requests for four seconds.
        harness.scheduler.advance(ms(5000))
    assert harness.hedging.find_delay("route") >= ms(85)


@pytest.mark.parametrize("winner", (0, 1))
def test_endpoint_that_lost_a_hedge_is_ranked_last(winner):
    """Failure: attempts at an endpoint that stalls are cancelled before the
    stall timeout, and it seems to be idle and sound."""
    harness = hedge_harness.HedgeHarness()
    _, _, *attempts = harness.start_hedged()
    attempts[winner].respond(body=b"data")
    names = [each.endpoint.name for each in attempts]
    assert (harness.health.find_failure_rate(names[0]) > 0) == (winner == 1)
    assert harness.health.find_failure_rate(names[1]) == 0
