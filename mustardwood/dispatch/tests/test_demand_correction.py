"""Tests of the correction of an estimated demand."""

import pytest

from mustardwood.dispatch import demand_correction
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms
_TARGET = 0.85


def _update(correction, expected, observed, is_refusing, seconds=10):
    for _ in range(seconds * 4):
        correction.update(ms(250), expected, observed, _TARGET, is_refusing)
    return correction.factor


@pytest.mark.parametrize("observed", (0.0, 0.3, 0.6))
def test_factor_falls_as_long_as_requests_are_refused_beside_free_engines(
        observed):
    correction = demand_correction.DemandCorrection()
    factors = [_update(correction, 1.5, observed, True, 1) for _ in range(5)]
    assert factors == sorted(factors, reverse=True)
    assert factors[-1] < 0.5


def test_light_load_without_refusals_corrects_nothing():
    correction = demand_correction.DemandCorrection()
    assert _update(correction, 0.5, 0.1, False) == 1.0


def test_factor_rises_if_the_engines_are_slower_than_estimated():
    correction = demand_correction.DemandCorrection()
    assert _update(correction, 0.4, 1.0, False) == pytest.approx(2.5, rel=0.01)


def test_factor_that_fell_is_raised_by_a_moderate_load():
    correction = demand_correction.DemandCorrection()
    assert _update(correction, 1.5, 0.2, True) < 0.3
    assert _update(correction, 0.5, 0.6, False) == pytest.approx(1.0, rel=0.01)


def test_factors_of_vms_approach_each_other():
    # VMs that drift apart refuse different tiers at the same time.
    corrections = [demand_correction.DemandCorrection() for _ in range(3)]
    for number, each in enumerate(corrections):
        _update(each, 1.5, 0.2 * number, True, number)
    for _ in range(40):
        factors = [each.factor for each in corrections]
        for number, each in enumerate(corrections):
            each.approach(ms(250), factors[:number] + factors[number + 1:])
    factors = [each.factor for each in corrections]
    assert max(factors) < 1.01 * min(factors)


def test_new_vm_takes_over_the_factor_of_its_peers():
    correction = demand_correction.DemandCorrection()
    correction.approach(ms(0), [0.4, 0.4])
    assert correction.factor == pytest.approx(0.4)
