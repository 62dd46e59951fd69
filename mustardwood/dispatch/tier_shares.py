"""Division of the engines' capacity among tiers."""

import collections.abc
import datetime
import math

_SHORT_SHARE = 11 / 12
"""Share of a tier's requests below which its callers go short.

The users accept that one in twelve requests of a kind is not served while less
urgent ones are.
"""
_PRECEDENCE_TIME = datetime.timedelta(seconds=5)
"""Time for which a tier that went short goes before those after it.

It is the span in which the users compare who was served.
"""
_AVERAGE_TIME = datetime.timedelta(seconds=1.5)
"""Time constant of the average shares, that of a long response."""


class TierShares:
    """Decides which share of each tier's requests is admitted.

    The capacity goes to the tiers in order of urgency, and the most urgent one
    is always admitted. Each tier is refused only when those after it have been
    refused for a time: until then, the requests that were admitted before may
    still keep the engines busy, and it waits for room instead. That does not
    hold when engines have been lost. Likewise, a tier is not admitted again
    while a more urgent one goes short, or has until recently: its callers come
    back, and would find the engines taken.
    """

    def __init__(self) -> None:
        self._shares: dict[int, float] = {}
        self._averages: dict[int, float] = {}
        self._short_at: dict[int, datetime.timedelta] = {}
        self._closed_since: dict[int, datetime.timedelta] = {}
        self._left: dict[int, float] = {}
        self._lost_at: datetime.timedelta | None = None
        self._is_waiting = False

    @property
    def is_refusing(self) -> bool:
        """Whether requests are refused for want of capacity.

        It is false if they only give precedence to a tier that went short.
        """
        return not self._is_waiting and any(
            each < 1.0 for each in self._shares.values())

    def record_loss(self, now: datetime.timedelta) -> None:
        """Records that engines were lost which the requests need.

        Args:
            now: Monotonic time.
        """
        self._lost_at = now

    def update(self, now: datetime.timedelta, elapsed: datetime.timedelta,
               demands: collections.abc.Mapping[int, float],
               capacity: float) -> None:
        """Divides the capacity again.

        Args:
            now: Monotonic time.
            elapsed: Time since the last update.
            demands: Demand by tier, in engines.
            capacity: Number of engines that may be used.
        """
        shares = self._divide(demands, capacity)
        may_refuse, is_waiting = True, False
        has_lost = (self._lost_at is not None and
                    now - self._lost_at < _PRECEDENCE_TIME)
        for tier in sorted(shares, reverse=True):
            if not may_refuse:
                shares[tier] = 1.0
            if shares[tier] > 0.0 and self._must_wait(tier, now):
                shares[tier] = 0.0
                is_waiting = True
            elif shares[tier] < _SHORT_SHARE:
                self._short_at[tier] = now
            if shares[tier] > 0.0:
                self._closed_since.pop(tier, None)
                may_refuse = False
            else:
                since = self._closed_since.setdefault(tier, now)
                may_refuse = may_refuse and (has_lost or
                                             now - since >= _PRECEDENCE_TIME)
        self._shares, self._is_waiting = shares, is_waiting
        weight = 1.0 - math.exp(-(elapsed / _AVERAGE_TIME))
        self._averages = {
            tier:
                self._averages.get(tier, 1.0) + weight *
                (share - self._averages.get(tier, 1.0))
            for tier, share in shares.items()
        }

    def _divide(self, demands: collections.abc.Mapping[int, float],
                capacity: float) -> dict[int, float]:
        """Returns the shares for which the capacity suffices."""
        shares: dict[int, float] = {}
        left, self._left = capacity, {}
        for tier in sorted(demands):
            demand = demands[tier]
            if not shares or demand <= left:
                shares[tier] = 1.0
            else:
                shares[tier] = max(0.0, left / demand) if demand else 0.0
            left -= demand
            self._left[tier] = left
        return shares

    def find_share(self, tier: int, now: datetime.timedelta) -> float:
        """Returns the share of a tier's requests that is admitted.

        Args:
            tier: The tier.
            now: Monotonic time.
        """
        share = self._shares.get(tier)
        if share is not None:
            return share
        more_urgent = [each for each in self._left if each < tier]
        has_room = not more_urgent or self._left[max(more_urgent)] > 0.0
        are_others_closed = all(
            each < tier or share <= 0.0 for each, share in self._shares.items())
        return float((has_room or not are_others_closed) and
                     not self._must_wait(tier, now))

    def compute_admitted(self,
                         demands: collections.abc.Mapping[int, float]) -> float:
        """Returns the part of the demand that was admitted recently.

        Args:
            demands: Demand by tier, in engines.
        """
        return sum(demand * self._averages.get(tier, 1.0)
                   for tier, demand in demands.items())

    def _must_wait(self, tier: int, now: datetime.timedelta) -> bool:
        return any(each < tier and now - since < _PRECEDENCE_TIME
                   for each, since in self._short_at.items())
