"""Tests of the load of a VM and its peers."""

import datetime
import random

from mustardwood import dispatch
from mustardwood import timing


def _sum_loads(parts, endpoint):
    total = dispatch.EndpointLoad()
    for loads in parts:
        total = total + loads.get(endpoint, dispatch.EndpointLoad())
    return total


def test_totals_equal_the_sum_of_all_valid_reports():
    rng = random.Random(5)
    clock = timing.ManualClock()
    table = dispatch.LoadTable(clock)
    reports = {}
    for _ in range(2000):
        clock.advance(datetime.timedelta(milliseconds=rng.randrange(60)))
        peer = f"vm-{rng.randrange(20)}"
        if rng.random() < 0.3:
            table.add(f"engine-{rng.randrange(6)}",
                      dispatch.EndpointLoad(requests=1))
        else:
            loads = {
                f"engine-{rng.randrange(6)}":
                    dispatch.EndpointLoad(rng.randrange(9000), 1)
                for _ in range(rng.randrange(4))
            }
            table.set_peer_loads(peer, loads)
            reports[peer] = (clock.monotonic(), loads)
        oldest = clock.monotonic() - dispatch.PEER_REPORT_LIFETIME
        parts = [
            loads for received, loads in reports.values() if received >= oldest
        ]
        parts.append(table.list_own_loads())
        for number in range(6):
            endpoint = f"engine-{number}"
            assert table.find_load(endpoint) == _sum_loads(parts, endpoint)


def test_idle_endpoints_are_removed_from_the_table():
    table = dispatch.LoadTable(timing.ManualClock())
    load = dispatch.EndpointLoad(5000, 1, 1, 6000)
    for number in range(100):
        table.add(f"engine-{number}", load)
        table.subtract(f"engine-{number}", load)
    assert not table.list_total_loads()
    assert not table.list_own_loads()


def test_share_of_prefill_follows_the_last_seconds():
    clock = timing.ManualClock()
    table = dispatch.LoadTable(clock)
    load = dispatch.EndpointLoad(prefill_tokens=30_000, requests=1)
    table.add("engine", load)
    clock.advance(datetime.timedelta(seconds=20))
    assert table.measure_use("engine").prefill_share > 0.99
    table.subtract("engine", load)
    clock.advance(datetime.timedelta(seconds=20))
    assert table.measure_use("engine").prefill_share < 0.01
    for _ in range(200):
        table.add("engine", load)
        clock.advance(datetime.timedelta(milliseconds=30))
        table.subtract("engine", load)
        clock.advance(datetime.timedelta(milliseconds=10))
    share = table.measure_use("engine").prefill_share
    assert 0.7 < share < 0.8
