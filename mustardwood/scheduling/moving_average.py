"""Exponentially weighted means."""


class MovingAverage:
    """An exponentially weighted mean that starts at its first sample.

    Args:
        smoothing: Weight of a new sample.
    """

    def __init__(self, smoothing: float) -> None:
        self.sample_count = 0
        self.mean = 0.0
        self._smoothing = smoothing

    def record(self, sample: float, weight: float = 1.0) -> None:
        """Takes in a sample; `trust` from 0 to 1 scales its weight."""
        if self.sample_count == 0:
            self.mean = sample
        self.mean += self._smoothing * weight * (sample - self.mean)
        self.sample_count += 1
