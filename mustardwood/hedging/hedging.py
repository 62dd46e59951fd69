"""Shared state of the hedged requests of a process."""

import collections
import collections.abc
import datetime

from mustardwood import timing
from mustardwood.hedging import first_byte_times
from mustardwood.hedging import hedge_budgets
from mustardwood.hedging import hedge_reason
from mustardwood.hedging import hedge_settings


class Hedging:
    """Times, limits and counts of the hedged requests of a process.

    Attributes:
        sent: Number of hedged requests sent.
        wins: Number of them that were answered before the first attempt.
        wasted: Time for which two endpoints ran the same request.
        refusals: Number of decisions against a hedged request, by reason.
    """

    def __init__(
        self,
        settings: hedge_settings.HedgeSettings,
        clock: timing.Clock,
        take_from_retries: collections.abc.Callable[[str], bool],
        on_budget_change: collections.abc.Callable[[str, bool], None] |
        None = None
    ) -> None:
        """Creates the state without times and with empty budgets.

        Args:
            settings: The settings.
            clock: Source of the monotonic time.
            take_from_retries: See `HedgeBudgets`.
            on_budget_change: See `HedgeBudgets`.
        """
        self._settings = settings
        self._times = first_byte_times.FirstByteTimes(clock, settings.quantile)
        self._budgets = hedge_budgets.HedgeBudgets(settings.share,
                                                   take_from_retries,
                                                   on_budget_change)
        self.sent = 0
        self.wins = 0
        self.wasted = datetime.timedelta()
        self.refusals: collections.Counter[
            hedge_reason.HedgeReason] = collections.Counter()

    @property
    def is_enabled(self) -> bool:
        """Whether requests may be hedged at all."""
        return self._settings.share > 0.0

    @property
    def remaining_budget(self) -> float:
        """Number of hedged requests that may be sent, over all services."""
        return self._budgets.remaining

    def record_request(self, service: str) -> None:
        """Adds a request that has arrived to the budget of its service."""
        if self.is_enabled:
            self._budgets.add_request(service)

    def record_first_byte(self, route: str,
                          elapsed: datetime.timedelta) -> None:
        """Records the time of a response.

        Args:
            route: Name of the route.
            elapsed: Time from the send to the first byte, or to the
                cancellation of an attempt without one.
        """
        if self.is_enabled:
            self._times.record(route, elapsed)

    def find_delay(self, route: str) -> datetime.timedelta | None:
        """Returns after which time requests of a route are hedged.

        Args:
            route: Name of the route.

        Returns:
            The time since the send; None if too few times are known.
        """
        quantile = self._times.find_quantile(route)
        return None if quantile is None else max(quantile,
                                                 self._settings.min_delay)

    def find_median(self, route: str) -> datetime.timedelta | None:
        """Returns the median time to the first byte; None if unknown."""
        return self._times.find_median(route)

    def has_budget(self, service: str) -> bool:
        """Returns whether the share allows one more hedged request."""
        return self._budgets.has(service)

    def take(self, service: str) -> bool:
        """Takes one hedged request; returns False if none is left."""
        is_taken = self._budgets.take(service)
        self.sent += is_taken
        return is_taken

    def record_refusal(self, service: str,
                       reason: hedge_reason.HedgeReason) -> None:
        """Counts a decision against a hedged request to a service."""
        self.refusals[reason] += 1
        if reason is hedge_reason.HedgeReason.BUDGET:
            self._budgets.record_refusal(service)

    def record_result(self, is_won: bool, wasted: datetime.timedelta) -> None:
        """Records the end of a hedged request.

        Args:
            is_won: Whether it was answered before the first attempt.
            wasted: Time for which both attempts were open.
        """
        self.wins += is_won
        self.wasted += wasted
