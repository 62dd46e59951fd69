"""Limits and prices within which endpoints of a service are ordered."""

import collections.abc
import dataclasses
import datetime

_DEFAULT_PRICE = 1.0
"""Price of an endpoint-second in a zone that has none of its own."""


@dataclasses.dataclass(frozen=True)
class ScalingParameters:
    """Limits and prices of a service's endpoints.

    Attributes:
        min_count: Minimum number of endpoints in each availability zone, of
            both kinds together.
        max_count: Maximum number of them in each availability zone.
        boot_time: Time from an order until the endpoint is registered.
        preemptible_price: Price of a preemptible endpoint as a share of that of
            another one; None if preemptible ones can't be ordered.
        zone_prices: Price of an endpoint-second by availability zone; empty if
            the prices don't differ.
    """

    min_count: int
    max_count: int
    boot_time: datetime.timedelta
    preemptible_price: float | None = None
    zone_prices: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict)

    def find_price(self, zone: str) -> float:
        """Returns the price of an endpoint-second; an unlisted zone has 1."""
        return self.zone_prices.get(zone, _DEFAULT_PRICE)
