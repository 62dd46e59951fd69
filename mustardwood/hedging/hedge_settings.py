"""Settings of hedged requests."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True)
class HedgeSettings:
    """Limits of hedged requests; the defaults switch them off.

    Attributes:
        share: Maximum number of hedged requests per request; 0 for none.
        quantile: Quantile of the recent times to the first byte of a route,
            after which a request is hedged; between 0 and 1.
        min_delay: Minimum time after which a request is hedged.
    """

    share: float = 0.0
    quantile: float = 0.95
    min_delay: datetime.timedelta = datetime.timedelta(milliseconds=50)
