"""Tests of simulated loads, with single dispatch features switched off."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood import profiles
from mustardwood.benchmarks.streams import engine_parameters
from mustardwood.benchmarks.streams import simulation
from mustardwood.benchmarks.streams import stream_kind

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

_BURSTS_ON_SMALL_ENGINES = simulation.LoadProfile(
    kinds=(stream_kind.StreamKind("reconciliation", 2, 10.2, 5_382, 6_610, 38,
                                  80, 2.045, 1.5, 12.272, 1.7, 0.51),
           stream_kind.StreamKind("question", 0, 6.75, 198, 628, 29, 60, 0.319,
                                  0.4, 10.618, 3.6, 0.33, True),
           stream_kind.StreamKind("tagging", 1, 10.8, 568, 1_800, 2, 140, 0.522,
                                  0.6, 2.612, 0.75, 0.23)),
    bursts=(simulation.Burst("reconciliation", 0.5, 12.0,
                             4.0), simulation.Burst("question", 6.0, 12.0,
                                                    2.6)),
    organisation_tiers=(0, 1, 1, 1, 1),
    seconds=12.0,
    parameters=engine_parameters.EngineParameters(slots=12,
                                                  memory_tokens=403_600,
                                                  event_tokens=10),
    peer_update_interval=0.1)

_DEPARTURE_TIME = 4.0
_WINDOW = 5.0
_SETTLING_TIME = 1.0
"""Time in which requests begin that were sent before the engines left."""
_FEW_ENGINES = simulation.LoadProfile(organisation_tiers=(0, 1, 1, 1, 1),
                                      seconds=12.0)
"""Average arrival rates, in which most of the engines leave."""

_BURST_ON_FAST_ENGINES = simulation.LoadProfile(
    bursts=(simulation.Burst("question", 1.0, 8.0, 4.0),),
    organisation_tiers=(0, 1, 1, 1, 1),
    seconds=12.0,
    engines=2,
    speeds=(2.8,))
"""A burst of urgent requests that the engines have the capacity for.

By the speed that the VMs assume, they would have a third of it.
"""

_LONG_PROMPTS_ONLY = simulation.LoadProfile(
    kinds=stream_kind.ACCOUNTING_TRAFFIC[:1], seconds=20.0, engines=2)
_BEARABLE_RATE = 5.0
"""Requests per second of this load that two engines serve in full."""
_OVERLOAD_RATE = 20.0
"""Requests per second of which they can prefill less than a half."""

_MIXED_VERSIONS = simulation.LoadProfile(seconds=6.0,
                                         versions=("v1", "v1.1"),
                                         crashes=(2.0, 3.0, 4.0),
                                         vm_losses=(2.5, 2.5, 2.5, 4.5, 4.5,
                                                    4.5))


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


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_request_is_not_preempted_while_a_less_urgent_one_runs(seed):
    outcome = simulation.simulate_load(_BURSTS_ON_SMALL_ENGINES, seed=seed)
    assert outcome.preemptions > 0
    assert outcome.inverted_preemptions == 0


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_large_requests_are_not_starved_by_less_urgent_ones(seed):
    outcome = simulation.simulate_load(_BURSTS_ON_SMALL_ENGINES, seed=seed)
    largest = outcome.served_share_of_largest["tagging"]
    assert largest >= outcome.served_share_by_kind["tagging"] / 2
    assert largest >= outcome.served_share_by_kind["reconciliation"]


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_no_stream_mixes_software_versions(seed):
    outcome = simulation.simulate_load(_MIXED_VERSIONS, seed=seed)
    assert outcome.resumptions > 12
    assert outcome.mixed_streams == 0


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_most_streams_that_callers_resume_go_on(seed):
    outcome = simulation.simulate_load(_MIXED_VERSIONS, seed=seed)
    share = outcome.continuations / outcome.resumptions
    assert share >= outcome.served_share_by_kind["question"] / 2


@pytest.mark.parametrize("engines", (1, 2))
@pytest.mark.parametrize("vms, peer_update_interval",
                         ((9, 0.02), (60, 0.275), (195, 0.95)))
def test_urgent_requests_are_not_starved_by_larger_less_urgent_ones(
        vms, peer_update_interval, engines):
    departures = (_DEPARTURE_TIME,) * (_FEW_ENGINES.engines - engines)
    profile = dataclasses.replace(_FEW_ENGINES,
                                  vms=vms,
                                  departures=departures,
                                  peer_update_interval=peer_update_interval)
    last_start = _FEW_ENGINES.seconds - _WINDOW
    starved = [
        each for each in simulation.simulate_load(profile).starved
        if each[1] <= last_start
    ]
    if engines == 1:
        # One engine has too little capacity for the second kind, too.
        starved = [
            each for each in starved
            if each[1] >= _DEPARTURE_TIME + _SETTLING_TIME
        ]
    assert not starved


@pytest.mark.parametrize("engines", (1, 2))
@pytest.mark.parametrize("vms, peer_update_interval",
                         ((9, 0.02), (60, 0.275), (195, 0.95)))
def test_urgent_requests_are_not_starved_after_a_start_with_few_engines(
        vms, peer_update_interval, engines):
    profile = dataclasses.replace(_FEW_ENGINES,
                                  seconds=8.0,
                                  vms=vms,
                                  engines=engines,
                                  peer_update_interval=peer_update_interval)
    assert not simulation.simulate_load(profile).starved


@pytest.mark.parametrize("seed", (1, 2))
@pytest.mark.parametrize("vms, peer_update_interval", ((9, 0.02), (60, 0.275)))
def test_urgent_requests_are_not_starved_on_engines_faster_than_estimated(
        vms, peer_update_interval, seed):
    profile = dataclasses.replace(_BURST_ON_FAST_ENGINES,
                                  vms=vms,
                                  peer_update_interval=peer_update_interval)
    assert not simulation.simulate_load(profile, seed=seed).starved


def test_third_of_the_engines_that_is_slower_gets_less():
    profile = dataclasses.replace(simulation.LoadProfile(),
                                  seconds=12.0,
                                  max_slowdown=1.0,
                                  speeds=(1.0, 1.0, 1.0 / 1.3))
    learned = simulation.simulate_load(profile, fixed_profile=None)
    fixed = simulation.simulate_load(profile, fixed_profile=profiles.PRIOR)
    shares = [
        sum(tokens[2::3]) / sum(tokens)
        for tokens in (learned.prefilled_by_engine, fixed.prefilled_by_engine)
    ]
    assert shares[0] < shares[1]


@pytest.mark.parametrize("speed", (0.5, 3.0))
def test_wrong_prior_costs_little_against_the_right_constants(speed):
    # Engines of another speed than the constants', with the same capacity.
    profile = dataclasses.replace(simulation.LoadProfile(),
                                  seconds=8.0,
                                  engines=round(6 / speed),
                                  speeds=(speed,))
    learned = simulation.simulate_load(profile, fixed_profile=None)
    right = simulation.simulate_load(profile,
                                     fixed_profile=profiles.PRIOR.slow_down(
                                         1 / speed))
    assert learned.credit_share >= right.credit_share - 0.02


@pytest.mark.parametrize("seed", (1, 2))
def test_overload_of_long_prompts_does_not_complete_fewer_streams(seed):
    completed = []
    for rate in (_BEARABLE_RATE, _OVERLOAD_RATE):
        kind = dataclasses.replace(_LONG_PROMPTS_ONLY.kinds[0], rate=rate)
        profile = dataclasses.replace(_LONG_PROMPTS_ONLY, kinds=(kind,))
        outcome = simulation.simulate_load(profile, seed=seed)
        completed.append(outcome.completed)
    assert completed[1] >= completed[0]
