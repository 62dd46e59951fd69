"""Exponentially weighted means."""


class MovingAverage:
    """An exponentially weighted mean that starts at its first sample.

    Args:
        smoothing: Weight of a new sample.
    """

    def __init__(self, smoothing: float) -> None:
        self.samples = 0
        self.mean = 0.0
        self._smoothing = smoothing

    def record(self, sample: float, trust: float = 1.0) -> None:
        """Takes in a sample; `trust` from 0 to 1 scales its weight."""
        if self.samples == 0:
            self.mean = sample
        self.mean += self._smoothing * trust * (sample - self.mean)
        self.samples += 1
