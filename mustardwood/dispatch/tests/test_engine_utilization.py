"""Tests of the observed utilization of engines."""

import pytest

from mustardwood import dispatch
from mustardwood.dispatch import engine_utilization
from mustardwood.dispatch.tests import harness as harness_module

ms = harness_module.ms


def _measure(harness, seconds=5):
    utilization = engine_utilization.EngineUtilization(harness.clock,
                                                       harness.loads)
    for _ in range(seconds):
        harness.clock.advance(ms(1_000))
        utilization.update(harness.list_usable())
    return utilization.average


def test_running_requests_use_their_share_of_the_slots():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.add("endpoint-0", dispatch.EndpointLoad(requests=32))
    assert _measure(harness) == pytest.approx(0.25, abs=0.01)


def test_engine_that_prefills_is_used_fully_by_few_requests():
    harness = harness_module.Harness(endpoints=2)
    harness.loads.add("endpoint-0",
                      dispatch.EndpointLoad(prefill_tokens=30_000, requests=1))
    assert _measure(harness) == pytest.approx(0.5, abs=0.01)


def test_use_between_two_updates_is_not_missed():
    # A VM with few requests looked at the engines in their short gaps only.
    harness = harness_module.Harness(endpoints=1)
    utilization = engine_utilization.EngineUtilization(harness.clock,
                                                       harness.loads)
    prefill = dispatch.EndpointLoad(prefill_tokens=30_000, requests=1)
    for _ in range(10):
        harness.loads.add("endpoint-0", prefill)
        harness.clock.advance(ms(900))
        harness.loads.subtract("endpoint-0", prefill)
        harness.clock.advance(ms(100))
        utilization.update(harness.list_usable())
    assert utilization.average == pytest.approx(0.9, abs=0.01)


def test_engine_that_is_back_after_its_removal_is_measured_anew():
    harness = harness_module.Harness(endpoints=1)
    utilization = engine_utilization.EngineUtilization(harness.clock,
                                                       harness.loads)
    harness.loads.add("endpoint-0", dispatch.EndpointLoad(requests=32))
    for _ in range(5):
        harness.clock.advance(ms(1_000))
        harness.loads.forget_endpoint("endpoint-0")
        utilization.update(harness.list_usable())
        assert 0.0 <= utilization.average <= 1.0
