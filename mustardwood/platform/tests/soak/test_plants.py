"""Tests that a run finds faults that are planted into its VMs."""

import asyncio

import pytest

from mustardwood.platform.tests.soak import soak

pytestmark = pytest.mark.processes

_SEEDS = range(61, 64)


@pytest.mark.parametrize("plant, rule", [("unstated", "TWICE"),
                                         ("unsent", "TWICE"),
                                         ("late-close", "TWICE"),
                                         ("error", "REFUSED")])
def test_planted_fault_is_found(tmp_path, plant, rule):
    for seed in _SEEDS:
        folder = tmp_path / str(seed)
        folder.mkdir()
        verdict = asyncio.run(
            soak.play(
                soak.Plan(seed, seconds=6.0, misbehavior=0.4, plant=plant),
                folder))
        if any(each.startswith(rule) for each in verdict.breaches):
            return
    pytest.fail("no run has found the fault")
