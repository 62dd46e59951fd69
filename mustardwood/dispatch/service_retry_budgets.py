"""Retry budgets of services, of which each VM uses its part."""

import collections.abc
import random

from mustardwood.dispatch import retry_budget

_USED_RATIO_SHARE = 0.85
"""Share of the allowed retry ratio that is used.

The rest allows for retries that are distributed unevenly over the VMs.
"""
_USED_BURST_SHARE = 0.8
"""Share of the allowed burst that is used; the rest is for unknown VMs."""
_RESERVED_RETRIES = 1.0
"""Retries that requests of the least urgent tier leave for more urgent ones."""
_RESERVED_SHARE = 0.5
"""Share of the burst that hedged requests leave for retries after failures."""
_MIN_BURST = 2.0
"""Minimum burst of one VM; deployments allow two or more for each VM."""


class ServiceRetryBudgets:
    """A separate retry budget for each service.

    Failure: one service fails some of its requests while another one works;
    the retries of the first must not use up those of the second.

    Failure: endpoints crash, and many requests are retried at the same time;
    those of less urgent tiers must not use up the retries of more urgent ones.
    """

    def __init__(self, rng: random.Random, ratio: float, burst: float,
                 count_vms: collections.abc.Callable[[], int]) -> None:
        """Creates the budgets.

        Args:
            rng: Random number generator for retry delays.
            ratio: Retries allowed for each request, over all VMs.
            burst: Retries allowed in addition within a window, over all VMs.
            count_vms: Returns the number of VMs, including this one.
        """
        self._rng = rng
        self._ratio = ratio
        self._burst = burst
        self._count_vms = count_vms
        self._budgets: dict[str, retry_budget.RetryBudget] = {}

    def add_request(self, service: str) -> None:
        """Adds the retries that a request to a service allows to its budget."""
        self._find_budget(service).add_request()

    def take_retry(self, service: str, urgency: float, spare: int = 0) -> bool:
        """Takes a retry of a service; returns False if its budget is used up.

        Args:
            service: Name of the service.
            urgency: Urgency of the request, from 0 for the least urgent tier to
                1 for the most urgent one.
            spare: Number of further retries that must be left.
        """
        budget = self._find_budget(service)
        budget.set_capacity(self._find_capacity())
        return budget.take_retry((1 - urgency) * _RESERVED_RETRIES + spare)

    def take_hedge(self, service: str) -> bool:
        """Takes a retry for a hedged request; returns False if none is left.

        Failure: an endpoint stalls. Hedged requests must not use up the
        retries of requests that fail.
        """
        budget = self._find_budget(service)
        capacity = self._find_capacity()
        budget.set_capacity(capacity)
        return budget.take_retry(capacity * _RESERVED_SHARE)

    def _find_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._rng,
                                              self._ratio * _USED_RATIO_SHARE,
                                              self._find_capacity())
            self._budgets[service] = budget
        return budget

    def _find_capacity(self) -> float:
        return max(_MIN_BURST,
                   _USED_BURST_SHARE * self._burst / max(1, self._count_vms()))
