"""This VM's part of the retries that all VMs share."""

import collections.abc
import random

from mustardwood.dispatch import retry_budget

_USED_SHARE = 0.85
"""Part of the allowed share of retries that is used; VMs count unevenly."""
_USED_SPARE = 0.8
"""Part of the spare retries that is used, for VMs that are not known yet."""
_LEAST_SPARE = 2.0
"""Spare retries of a VM at least; deployments name two or more for each."""


class ServiceRetryBudgets:
    """Keeps a budget of retries for each service.

    Load pattern: one service fails part of its requests while another is
    sound; the retries of the first must not use up those of the second.
    """

    def __init__(self, rng: random.Random, share: float, spare: float,
                 count_vms: collections.abc.Callable[[], int]) -> None:
        """Creates the allowance.

        Args:
            rng: Draws delays.
            share: Retries allowed for each request, over all VMs.
            spare: Retries allowed besides in a window, over all VMs.
            count_vms: Returns the number of VMs, this one included.
        """
        self._rng = rng
        self._share = share
        self._spare = spare
        self._count_vms = count_vms
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def add_request(self, service: str) -> None:
        """Adds the share of one request for a service."""
        self._find_budget(service).add_request()

    def take_retry(self, service: str) -> bool:
        """Takes one retry at a service; returns False if none is left."""
        budget = self._find_budget(service)
        budget.set_capacity(self._find_capacity())
        return budget.take_retry()

    def _find_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._rng,
                                              self._share * _USED_SHARE,
                                              self._find_capacity())
            self._budgets[service] = budget
        return budget

    def _find_capacity(self) -> float:
        return max(_LEAST_SPARE,
                   _USED_SPARE * self._spare / max(1, self._count_vms()))
