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

    def record(self, sample: float) -> None:
        """Takes in a sample."""
        if self.samples == 0:
            self.mean = sample
        self.mean += self._smoothing * (sample - self.mean)
        self.samples += 1
