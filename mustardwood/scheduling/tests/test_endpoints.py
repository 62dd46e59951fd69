"""Tests of limits, stragglers, failures, suspects and endpoint choice."""

import collections
import datetime

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import harness as harness_module


def _make_harness(**options):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    harness = harness_module.SchedulerHarness(
        harness_module.make_document(classes, **options))
    harness.send_heartbeat(0)
    harness.advance(scheduling.LEARNING_TIME)
    return harness


def _find_endpoint(harness, name):
    status = harness.scheduler.describe(harness.now)
    return next(each for each in status.endpoints if each.endpoint == name)


def _count_grants_by_endpoint(harness):
    return collections.Counter(
        each.endpoint for each in harness.grants.values())


def test_leaving_endpoint_gets_no_more_grants():
    harness = _make_harness(endpoints=2)
    harness.scheduler.set_leaving_endpoints(["e0"])
    for _ in range(8):
        harness.ask("t0")
    assert _count_grants_by_endpoint(harness) == {"e1": 4}


def test_endpoint_configured_as_leaving_gets_no_grant():
    harness = _make_harness(endpoints=2)
    marked = msgspec.structs.replace(harness.cell.endpoints[0],
                                     state=configuration.EndpointState.LEAVING)
    cell = msgspec.structs.replace(harness.cell,
                                   endpoints=(marked,
                                              harness.cell.endpoints[1]))
    harness.deliver(
        harness.scheduler.update_cell(cell, harness.document, harness.now))
    for _ in range(8):
        harness.ask("t0")
    assert _count_grants_by_endpoint(harness) == {"e1": 4}


def test_queue_is_refused_when_the_last_endpoint_leaves():
    harness = _make_harness(concurrency=1)
    harness.ask("t0")
    waiting = harness.ask("t0")
    harness.scheduler.set_leaving_endpoints(["e0"])
    harness.advance()
    assert (harness.refusals[waiting.request_id].reason
            is messages.RefusalReason.NO_ENDPOINT)


def test_excluded_endpoint_is_not_granted():
    harness = _make_harness(endpoints=2)
    asks = [harness.ask("t0", excluded=("e0",)) for _ in range(6)]
    assert _count_grants_by_endpoint(harness) == {"e1": 4}
    unservable = harness.ask("t0", excluded=("e0", "e1"))
    assert (harness.refusals[unservable.request_id].reason
            is messages.RefusalReason.NO_ENDPOINT)
    assert asks[-1].request_id in harness.waiting


def test_limit_of_straggler_decreases_and_recovers():
    harness = _make_harness(endpoints=4, concurrency=8)
    harness.inter_token_times["e0"] = datetime.timedelta(seconds=0.056)
    harness.service_times["e0"] = datetime.timedelta(seconds=3)

    def send_arrivals(_):
        while len(harness.waiting) < 40:
            harness.ask("t0")

    harness.run(20, send_arrivals)
    assert _find_endpoint(harness, "e0").limit <= 4
    assert _find_endpoint(harness, "e1").limit == 8
    del harness.inter_token_times["e0"], harness.service_times["e0"]
    harness.run(60, send_arrivals)
    assert _find_endpoint(harness, "e0").limit == 8


def test_endpoint_without_first_tokens_is_a_straggler():
    harness = _make_harness(endpoints=4, concurrency=8)
    harness.run(10, lambda now: harness.ask("t0"))
    harness.service_times["e0"] = datetime.timedelta(seconds=1000)
    harness.run(10, lambda now: harness.ask("t0"))
    assert _find_endpoint(harness, "e0").state == "straggling"
    assert _find_endpoint(harness, "e0").limit <= 2


def test_inter_token_time_above_target_decreases_the_limit():
    harness = _make_harness(concurrency=8)
    harness.inter_token_times["e0"] = datetime.timedelta(seconds=0.2)

    def send_arrivals(_):
        while len(harness.waiting) < 20:
            harness.ask("t0")

    harness.run(30, send_arrivals)
    assert _find_endpoint(harness, "e0").limit == 1


def test_failed_endpoint_gets_one_attempt_after_backoff():
    harness = _make_harness(endpoints=2)
    first = harness.ask("t0", excluded=("e1",))
    harness.report(first.request_id, messages.Outcome.UNREACHABLE, None)
    for _ in range(8):
        harness.ask("t0")
    assert _count_grants_by_endpoint(harness) == {"e0": 1, "e1": 4}
    harness.advance(datetime.timedelta(seconds=0.5))
    assert _count_grants_by_endpoint(harness) == {"e0": 2, "e1": 4}


def test_external_load_decreases_the_limit_and_own_load_does_not():
    harness = _make_harness(concurrency=8)
    for _ in range(3):
        harness.ask("t0")
    harness.clock.advance(datetime.timedelta(seconds=1))
    age = datetime.timedelta(seconds=0.5)
    harness.scheduler.handle_load_report("e0",
                                         scheduling.LoadReport(3, 0, 0, age),
                                         harness.now)
    assert _find_endpoint(harness, "e0").limit == 8
    harness.scheduler.handle_load_report("e0",
                                         scheduling.LoadReport(7, 1, 0, age),
                                         harness.now)
    assert _find_endpoint(harness, "e0").limit == 3


def test_prefix_stays_on_one_endpoint_until_that_is_loaded():
    harness = _make_harness(endpoints=4, concurrency=8)
    chosen = set()
    for _ in range(10):
        ask = harness.ask("t0", prefix=77)
        chosen.add(harness.grants[ask.request_id].endpoint)
        harness.report(ask.request_id)
    assert len(chosen) == 1
    for _ in range(8):
        harness.ask("t0", prefix=77)
    running = [
        each.running
        for each in harness.scheduler.describe(harness.now).endpoints
    ]
    assert max(running) <= 4


def test_prefixes_are_spread_and_keep_their_endpoints():
    harness = _make_harness(endpoints=4, concurrency=8)
    endpoints_by_prefix = collections.defaultdict(set)
    for prefix in list(range(1, 21)) * 2:
        ask = harness.ask("t0", prefix=prefix)
        endpoints_by_prefix[prefix].add(harness.grants[ask.request_id].endpoint)
        harness.report(ask.request_id)
    assert all(len(each) == 1 for each in endpoints_by_prefix.values())
    assert len(set.union(*endpoints_by_prefix.values())) == 4


def _send_suspects(harness, count, **options):
    return [
        harness.ask("t0",
                    suspect=True,
                    **{"fingerprint": f"f{number}"} | options)
        for number in range(count)
    ]


def test_suspects_run_on_different_endpoints():
    harness = _make_harness(endpoints=2)
    asks = _send_suspects(harness, 3)
    assert _count_grants_by_endpoint(harness) == {"e0": 1, "e1": 1}
    normal = harness.ask("t0")
    assert normal.request_id in harness.grants
    harness.report(asks[0].request_id)
    assert asks[2].request_id in harness.grants


def test_suspects_with_the_same_fingerprint_run_one_at_a_time():
    harness = _make_harness(endpoints=2)
    asks = _send_suspects(harness, 2, fingerprint="same")
    assert len(harness.grants) == 1
    harness.report(asks[0].request_id)
    assert len(harness.grants) == 2


def test_fingerprints_from_the_agent_are_suspects():
    harness = _make_harness(endpoints=1)
    harness.scheduler.set_suspect_fingerprints(["a", "b"])
    harness.ask("t0", fingerprint="a")
    harness.ask("t0", fingerprint="b")
    assert len(harness.grants) == 1


def test_waiting_suspects_do_not_block_other_requests():
    harness = _make_harness(endpoints=2)
    _send_suspects(harness, 100, fingerprint="same")
    normal = harness.ask("t0")
    assert normal.request_id in harness.grants
    assert len(harness.grants) == 2
