"""Limits, stragglers, failures and the choice of endpoints."""

import collections
import datetime

import msgspec

from mustardwood import configuration
from mustardwood import messages
from mustardwood import scheduling
from mustardwood.scheduling.tests import bench as bench_module


def _make_bench(**options):
    classes = [configuration.RequestClass("t0", 0, 1.0)]
    bench = bench_module.Bench(bench_module.make_document(classes, **options))
    bench.heartbeat(0)
    bench.advance(scheduling.LEARNING_TIME)
    return bench


def _find_endpoint(bench, name):
    status = bench.scheduler.describe(bench.now)
    return next(each for each in status.endpoints if each.endpoint == name)


def _count_by_endpoint(bench):
    return collections.Counter(each.endpoint for each in bench.grants.values())


def test_leaving_endpoint_gets_no_grant_at_once():
    bench = _make_bench(endpoints=2)
    bench.scheduler.set_leaving_endpoints(["e0"])
    for _ in range(8):
        bench.ask("t0")
    assert _count_by_endpoint(bench) == {"e1": 4}


def test_endpoint_marked_in_the_configuration_gets_no_grant():
    bench = _make_bench(endpoints=2)
    marked = msgspec.structs.replace(bench.cell.endpoints[0],
                                     state=configuration.EndpointState.LEAVING)
    cell = msgspec.structs.replace(bench.cell,
                                   endpoints=(marked, bench.cell.endpoints[1]))
    bench.take(bench.scheduler.update_cell(cell, bench.document, bench.now))
    for _ in range(8):
        bench.ask("t0")
    assert _count_by_endpoint(bench) == {"e1": 4}


def test_last_endpoint_leaves_and_the_queue_is_refused():
    bench = _make_bench(concurrency=1)
    bench.ask("t0")
    waiting = bench.ask("t0")
    bench.scheduler.set_leaving_endpoints(["e0"])
    bench.advance()
    assert (bench.refusals[waiting.request_id].reason
            is messages.RefusalReason.NO_ENDPOINT)


def test_excluded_endpoint_is_not_granted():
    bench = _make_bench(endpoints=2)
    asks = [bench.ask("t0", excluded=("e0",)) for _ in range(6)]
    assert _count_by_endpoint(bench) == {"e1": 4}
    nowhere = bench.ask("t0", excluded=("e0", "e1"))
    assert (bench.refusals[nowhere.request_id].reason
            is messages.RefusalReason.NO_ENDPOINT)
    assert asks[-1].request_id in bench.waiting


def test_straggler_gets_less_and_is_probed_back():
    bench = _make_bench(endpoints=4, concurrency=8)
    bench.paces["e0"] = datetime.timedelta(seconds=0.056)
    bench.service_times["e0"] = datetime.timedelta(seconds=3)

    def arrive(_):
        while len(bench.waiting) < 40:
            bench.ask("t0")

    bench.run(20, arrive)
    assert _find_endpoint(bench, "e0").limit <= 4
    assert _find_endpoint(bench, "e1").limit == 8
    del bench.paces["e0"], bench.service_times["e0"]
    bench.run(60, arrive)
    assert _find_endpoint(bench, "e0").limit == 8


def test_silent_endpoint_is_a_straggler():
    bench = _make_bench(endpoints=4, concurrency=8)
    bench.run(10, lambda now: bench.ask("t0"))
    bench.service_times["e0"] = datetime.timedelta(seconds=1000)
    bench.run(10, lambda now: bench.ask("t0"))
    assert _find_endpoint(bench, "e0").state == "straggling"
    assert _find_endpoint(bench, "e0").limit <= 2


def test_slow_tokens_lower_the_limit():
    bench = _make_bench(concurrency=8)
    bench.paces["e0"] = datetime.timedelta(seconds=0.2)

    def arrive(_):
        while len(bench.waiting) < 20:
            bench.ask("t0")

    bench.run(30, arrive)
    assert _find_endpoint(bench, "e0").limit == 1


def test_failed_endpoint_is_left_alone_then_probed():
    bench = _make_bench(endpoints=2)
    first = bench.ask("t0", excluded=("e1",))
    bench.report(first.request_id, messages.Outcome.UNREACHABLE, None)
    for _ in range(8):
        bench.ask("t0")
    assert _count_by_endpoint(bench) == {"e0": 1, "e1": 4}
    bench.advance(datetime.timedelta(seconds=0.5))
    assert _count_by_endpoint(bench) == {"e0": 2, "e1": 4}


def test_foreign_work_lowers_the_limit_and_own_work_does_not():
    bench = _make_bench(concurrency=8)
    for _ in range(3):
        bench.ask("t0")
    bench.clock.advance(datetime.timedelta(seconds=1))
    age = datetime.timedelta(seconds=0.5)
    bench.scheduler.accept_load("e0", scheduling.LoadReport(3, 0, 0, age),
                                bench.now)
    assert _find_endpoint(bench, "e0").limit == 8
    bench.scheduler.accept_load("e0", scheduling.LoadReport(7, 1, 0, age),
                                bench.now)
    assert _find_endpoint(bench, "e0").limit == 3


def test_same_prefix_goes_to_one_endpoint_until_it_is_loaded():
    bench = _make_bench(endpoints=4, concurrency=8)
    chosen = set()
    for _ in range(10):
        ask = bench.ask("t0", prefix=77)
        chosen.add(bench.grants[ask.request_id].endpoint)
        bench.report(ask.request_id)
    assert len(chosen) == 1
    for _ in range(8):
        bench.ask("t0", prefix=77)
    running = [
        each.running for each in bench.scheduler.describe(bench.now).endpoints
    ]
    assert max(running) <= 4


def test_prefixes_spread_over_endpoints_and_stay():
    bench = _make_bench(endpoints=4, concurrency=8)
    places = collections.defaultdict(set)
    for prefix in list(range(1, 21)) * 2:
        ask = bench.ask("t0", prefix=prefix)
        places[prefix].add(bench.grants[ask.request_id].endpoint)
        bench.report(ask.request_id)
    assert all(len(each) == 1 for each in places.values())
    assert len(set.union(*places.values())) == 4


def _make_suspects(bench, count, **options):
    return [
        bench.ask("t0", suspect=True, **{"fingerprint": f"f{number}"} | options)
        for number in range(count)
    ]


def test_suspects_run_on_different_endpoints():
    bench = _make_bench(endpoints=2)
    asks = _make_suspects(bench, 3)
    assert _count_by_endpoint(bench) == {"e0": 1, "e1": 1}
    normal = bench.ask("t0")
    assert normal.request_id in bench.grants
    bench.report(asks[0].request_id)
    assert asks[2].request_id in bench.grants


def test_repeats_of_a_suspect_run_one_after_another():
    bench = _make_bench(endpoints=2)
    asks = _make_suspects(bench, 2, fingerprint="same")
    assert len(bench.grants) == 1
    bench.report(asks[0].request_id)
    assert len(bench.grants) == 2


def test_fingerprints_named_by_the_agent_are_suspects():
    bench = _make_bench(endpoints=1)
    bench.scheduler.set_suspect_fingerprints(["a", "b"])
    bench.ask("t0", fingerprint="a")
    bench.ask("t0", fingerprint="b")
    assert len(bench.grants) == 1


def test_many_repeats_of_a_suspect_do_not_block_others():
    bench = _make_bench(endpoints=2)
    _make_suspects(bench, 100, fingerprint="same")
    normal = bench.ask("t0")
    assert normal.request_id in bench.grants
    assert len(bench.grants) == 2
