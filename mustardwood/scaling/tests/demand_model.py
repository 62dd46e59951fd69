"""A modelled demand with waves and bursts."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Burst:
    """A burst of one tier.

    Attributes:
        start: Time in seconds.
        length: Length in seconds.
        tier: The tier.
        factor: Factor on the tier's demand.
    """

    start: float
    length: float
    tier: int
    factor: float = 2.5


@dataclasses.dataclass(frozen=True)
class DemandModel:
    """The true demand by tier, in engines.

    Attributes:
        means: Mean demand by tier.
        period: Period of the wave, in seconds.
        swing: Amplitude of the wave as a share of the mean.
        bursts: Bursts.
    """

    means: tuple[float, ...] = (8.0, 12.0, 10.0)
    period: float = 14.0
    swing: float = 0.4
    bursts: tuple[Burst, ...] = ()

    def find(self, time: float) -> list[float]:
        """Returns the demand by tier at a time in seconds."""
        wave = 1.0 + self.swing * math.sin(2.0 * math.pi * time / self.period)
        demands = [each * wave for each in self.means]
        for burst in self.bursts:
            if burst.start <= time < burst.start + burst.length:
                demands[burst.tier] *= burst.factor
        return demands


def make_bursts(start: float, end: float) -> tuple[Burst, ...]:
    """Returns bursts of 5 to 9 s, one tier after the other, with pauses."""
    bursts = []
    number = 0
    while start < end:
        length = (5.0, 9.0, 7.0)[number % 3]
        bursts.append(Burst(start, length, number % 3))
        # Two bursts follow each other directly, then there is a pause.
        start += length + (0.0, 12.0)[number % 2]
        number += 1
    return tuple(bursts)
