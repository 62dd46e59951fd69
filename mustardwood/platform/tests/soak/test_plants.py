"""Tests that a run finds faults that are planted into its VMs."""

import asyncio

import pytest

from mustardwood.platform.tests import earlier_builds
from mustardwood.platform.tests.soak import soak

pytestmark = pytest.mark.processes

_SEEDS = range(61, 64)


@pytest.mark.parametrize("plant, rule", [("unstated", "TWICE"),
                                         ("unsent", "TWICE"),
                                         ("late-close", "TWICE"),
                                         ("error", "REFUSED")])
def test_planted_fault_is_found(tmp_path, plant, rule):
    assert _is_found(tmp_path, rule, plant=plant)


@pytest.mark.parametrize("plant, rule", [("copy", "TWICE"),
                                         ("repetition", "REFUSED")])
def test_fault_that_repeated_requests_meet_is_found(tmp_path, plant, rule):
    assert _is_found(tmp_path,
                     rule,
                     plant=plant,
                     copied_refusals=0.5,
                     has_repeating_callers=True)


def test_vm_that_uses_its_own_path_only_is_found(tmp_path):
    assert _is_found(tmp_path,
                     "RECOVER",
                     plant="own-path",
                     cut_vms=2,
                     seconds=10.0)


def test_end_of_a_relaying_vm_that_completes_responses_is_found(tmp_path):
    assert _is_found(tmp_path,
                     "MIXED",
                     plant="tunnel-end",
                     vms=4,
                     cut_vms=1,
                     unframed=1.0,
                     has_relay_restarts=True,
                     misbehavior=0.0,
                     seconds=12.0)


def test_vm_that_receives_each_version_over_a_slow_link_is_found(tmp_path):
    assert _is_found(tmp_path,
                     "CONFIG",
                     plant="history",
                     has_changes=True,
                     store_megabits=10.0,
                     misbehavior=0.0,
                     seconds=12.0)


def test_updates_that_another_build_can_not_decode_are_found(tmp_path):
    try:
        is_found = _is_found(tmp_path,
                             "RECOVER",
                             plant="updates",
                             build="aad01d3",
                             vms=2,
                             cut_vms=1,
                             seconds=10.0)
    except earlier_builds.BuildError as error:
        pytest.skip(str(error))
    assert is_found


def _is_found(folder, rule, **options):
    """Returns whether one of the runs finds that a rule is broken."""
    for seed in _SEEDS:
        (folder / str(seed)).mkdir()
        plan = soak.Plan(seed, **{
            "seconds": 6.0,
            "misbehavior": 0.4,
            **options
        })
        verdict = asyncio.run(soak.play(plan, folder / str(seed)))
        if any(each.startswith(rule) for each in verdict.breaches):
            return True
    return False
