"""Limit of hedged requests relative to the number of requests."""

import collections.abc

_MAX_SAVED = 4.0
"""Maximum number of hedged requests that a service may save up at one VM.

Those of all VMs together are limited by the retry budget, from which each of
them is taken, too.
"""


class HedgeBudgets:
    """The hedged requests that this VM may send to each service.

    Each VM may send the configured share of the requests that it gets, and
    nothing in advance. All VMs together thus stay within the share, whatever
    their number and however the requests are distributed.

    A hedged request is also taken from the retry budget of the service, so
    that retries and hedged requests together stay within its limit.
    """

    def __init__(
        self,
        share: float,
        take_from_retries: collections.abc.Callable[[str], bool],
        on_change: collections.abc.Callable[[str, bool], None] | None = None
    ) -> None:
        """Creates empty budgets.

        Args:
            share: Hedged requests per request.
            take_from_retries: Takes a retry of a service; returns False if
                none may be used for a hedged request.
            on_change: Called with a service and True when a request was not
                hedged because its budget is used up, and with False when one
                is hedged again.
        """
        self._share = share
        self._take_from_retries = take_from_retries
        self._on_change = on_change
        self._saved: dict[str, float] = {}
        self._used_up: set[str] = set()

    @property
    def remaining(self) -> float:
        """Number of hedged requests that may be sent, over all services."""
        return sum(self._saved.values())

    def add_request(self, service: str) -> None:
        """Adds the share of one request to the budget of its service."""
        self._saved[service] = min(
            self._saved.get(service, 0.0) + self._share, _MAX_SAVED)

    def has(self, service: str) -> bool:
        """Returns whether the share allows one more hedged request."""
        return self._saved.get(service, 0.0) >= 1.0

    def take(self, service: str) -> bool:
        """Takes one hedged request; returns False if none is left.

        Args:
            service: Name of the service.
        """
        if not self.has(service) or not self._take_from_retries(service):
            return False
        self._saved[service] -= 1.0
        if service in self._used_up:
            self._used_up.discard(service)
            self._report(service, False)
        return True

    def record_refusal(self, service: str) -> None:
        """Records that a request was not hedged because none was left."""
        if service not in self._used_up:
            self._used_up.add(service)
            self._report(service, True)

    def _report(self, service: str, is_used_up: bool) -> None:
        if self._on_change is not None:
            self._on_change(service, is_used_up)
