"""Tests of simulated loads, with single dispatch features switched off."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood.benchmarks.streams import simulation

_DEFAULTS = dispatch.PlacementSettings()
_WITHOUT_RESERVATION = dataclasses.replace(_DEFAULTS,
                                           min_reserved_share=0.0,
                                           max_reserved_share=0.0)
_WITHOUT_CACHE_COST = dataclasses.replace(_DEFAULTS, cache_miss_streams=0.0)
_BURST = simulation.LoadProfile(
    seconds=5.0,
    vms=3,
    bursts=(simulation.Burst("question", 1.0, 5.0, 2.5),
            simulation.Burst("reconciliation", 1.0, 5.0, 2.0)))


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_engines_reserved_for_interactive_streams_keep_them_on_time(seed):
    reserved = simulation.simulate_load(_BURST, _DEFAULTS, seed)
    unreserved = simulation.simulate_load(_BURST, _WITHOUT_RESERVATION, seed)
    assert reserved.credit_share_by_kind[
        "question"] > unreserved.credit_share_by_kind["question"] + 0.05
    assert reserved.late_pauses < unreserved.late_pauses


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_cost_of_cache_misses_in_placement_saves_prefill(seed):
    with_cost = simulation.simulate_load(_BURST, _DEFAULTS, seed)
    without_cost = simulation.simulate_load(_BURST, _WITHOUT_CACHE_COST, seed)
    assert with_cost.prefilled_tokens < without_cost.prefilled_tokens


def test_same_seed_gives_the_same_outcome():
    short = dataclasses.replace(_BURST, seconds=1.0)
    assert simulation.simulate_load(short,
                                    seed=4) == simulation.simulate_load(short,
                                                                        seed=4)


def test_crash_fails_streams_that_may_run_once():
    steady = simulation.LoadProfile(seconds=3.0, vms=3)
    crash = dataclasses.replace(steady, crashes=(1.5, 1.5, 2.0))
    assert simulation.simulate_load(steady).failed < simulation.simulate_load(
        crash).failed
