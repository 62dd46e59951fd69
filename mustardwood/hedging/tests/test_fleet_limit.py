"""Tests that all VMs together keep the limit of hedged requests."""

import random

import pytest

from mustardwood import dispatch
from mustardwood import hedging

_RATIO = 0.1
_SERVICE = "service"


class _Vm:

    def __init__(self, share, vms, retry_burst):
        self.retry_budgets = dispatch.ServiceRetryBudgets(
            random.Random(1), _RATIO, retry_burst, lambda: vms)
        self.changes = []
        self.budgets = hedging.HedgeBudgets(
            share, self.retry_budgets.take_hedge,
            lambda service, is_used_up: self.changes.append(is_used_up))

    def add_request(self):
        """Records the arrival of a request."""
        self.retry_budgets.add_request(_SERVICE)
        self.budgets.add_request(_SERVICE)


@pytest.mark.parametrize("vms", (9, 83, 400))
@pytest.mark.parametrize("share", (0.01, 0.02, 0.05))
def test_all_vms_stay_within_the_share(vms, share):
    """Failure: an endpoint stalls, and every VM hedges all that it can.

    Callers are distributed unevenly: one VM in three gets half as much again.
    """
    fleet = [_Vm(share, vms, 2.0 * vms) for _ in range(vms)]
    rng = random.Random(2)
    weights = [1.5 if number % 3 == 0 else 0.75 for number in range(vms)]
    hedges = 0
    requests = 100 * vms
    for vm in rng.choices(fleet, weights, k=requests):
        vm.add_request()
        hedges += vm.budgets.take(_SERVICE)
    assert hedges <= share * requests
    # What VMs have saved up and not used is less than one hedged request each.
    assert hedges >= share * requests - vms


@pytest.mark.parametrize("vms", (9, 83, 400))
def test_hedges_and_retries_stay_within_the_retry_budget(vms):
    """Failure: hedged requests come on top of the retries of an outage."""
    burst = 2.0 * vms
    fleet = [_Vm(0.05, vms, burst) for _ in range(vms)]
    rng = random.Random(3)
    extra = 0
    requests = 60 * vms
    for vm in rng.choices(fleet, k=requests):
        vm.add_request()
        extra += vm.budgets.take(_SERVICE)
        extra += vm.retry_budgets.take_retry(_SERVICE, 1.0)
    assert extra <= _RATIO * requests + burst


def test_hedges_leave_half_of_the_retries_to_failures():
    """Failure: hedged requests use up what failed requests need."""
    vm = _Vm(1.0, 1, 10.0)
    for _ in range(100):
        vm.budgets.add_request(_SERVICE)
    hedges = sum(vm.budgets.take(_SERVICE) for _ in range(20))
    for _ in range(100):
        vm.budgets.add_request(_SERVICE)
    hedges += sum(vm.budgets.take(_SERVICE) for _ in range(20))
    retries = sum(vm.retry_budgets.take_retry(_SERVICE, 1.0) for _ in range(20))
    assert hedges == 4
    assert retries == 4


def test_budget_is_empty_at_the_start():
    """Failure: each VM that starts may hedge in advance."""
    vm = _Vm(0.05, 9, 100.0)
    assert not vm.budgets.take(_SERVICE)
    for _ in range(19):
        vm.add_request()
    assert not vm.budgets.take(_SERVICE)
    vm.add_request()
    vm.add_request()
    assert vm.budgets.take(_SERVICE)


def test_change_of_the_budget_is_reported_once():
    """Failure: the log has a line for each request of an outage."""
    vm = _Vm(0.5, 1, 100.0)
    for _ in range(3):
        vm.budgets.record_refusal(_SERVICE)
    assert vm.changes == [True]
    for _ in range(4):
        vm.add_request()
    assert vm.budgets.take(_SERVICE)
    assert vm.budgets.take(_SERVICE)
    assert vm.changes == [True, False]
