"""Times in which an endpoint is slow or stalls."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Disturbance:
    """A period in which one endpoint after another is slow or stalls.

    Attributes:
        start: Start of the first period, in seconds.
        duration: Length of a period, in seconds.
        interval: Time from the start of one period to that of the next, which
            is of the next endpoint, in seconds.
        factor: Factor on the times of a slow endpoint; 0 for one that stalls:
            it sends nothing until the end of the period.
    """

    start: float
    duration: float
    interval: float
    factor: float
