"""Forecast of the demand for a service's endpoints."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class DemandForecast:
    """The demand over the time in which an order takes effect, in endpoints.

    Attributes:
        certain: Present or steady demand of all tiers, whichever is higher, as
            far as the requests in flight confirm it.
        highest: Highest demand of all tiers within the time of the samples.
        steady: Demand of all tiers apart from bursts, high in their waves.
        bursting: Part of the steady demand that a burst may multiply.
        urgent: Steady demand of the more urgent half of the tiers, as far as
            the requests in flight confirm it.
    """

    certain: float
    highest: float
    steady: float
    bursting: float
    urgent: float
