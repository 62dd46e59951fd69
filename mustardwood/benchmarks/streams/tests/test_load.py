"""Loads on modelled engines, with and without single decisions."""

import dataclasses

import pytest

from mustardwood import dispatch
from mustardwood.benchmarks.streams import load

_DESIGN = dispatch.PlacementSettings()
_MIXED = dataclasses.replace(_DESIGN,
                             min_reserved_share=0.0,
                             max_reserved_share=0.0)
_UNMINDFUL = dataclasses.replace(_DESIGN, cache_miss_streams=0.0)
_RUSH = load.Load(seconds=5.0,
                  vms=3,
                  bursts=(load.Burst("question", 1.0, 5.0, 2.5),
                          load.Burst("reconciliation", 1.0, 5.0, 2.0)))


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_engines_kept_free_of_long_prompts_keep_streams_on_time(seed):
    apart = load.play_load(_RUSH, _DESIGN, seed)
    mixed = load.play_load(_RUSH, _MIXED, seed)
    assert apart.shares["question"] > mixed.shares["question"] + 0.05
    assert apart.late_pauses < mixed.late_pauses


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_subjects_that_stay_save_prefill(seed):
    mindful = load.play_load(_RUSH, _DESIGN, seed)
    unmindful = load.play_load(_RUSH, _UNMINDFUL, seed)
    assert mindful.read_tokens < unmindful.read_tokens


def test_same_seed_gives_the_same_outcome():
    short = dataclasses.replace(_RUSH, seconds=1.0)
    assert load.play_load(short, seed=4) == load.play_load(short, seed=4)


def test_crash_breaks_streams_that_may_run_once():
    calm = load.Load(seconds=3.0, vms=3)
    crash = dataclasses.replace(calm, crashes=(1.5, 1.5, 2.0))
    assert load.play_load(calm).failed < load.play_load(crash).failed
