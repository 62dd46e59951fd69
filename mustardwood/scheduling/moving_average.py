"""Exponentially weighted moving average."""


class MovingAverage:
    """An exponentially weighted moving average.

    The first sample initialises it.

    Args:
        smoothing: Weight of a new sample, from 0 to 1.
    """

    def __init__(self, smoothing: float) -> None:
        self.sample_count = 0
        self.mean = 0.0
        self._smoothing = smoothing

    def record(self, sample: float, weight: float = 1.0) -> None:
        """Adds a sample.

        Args:
            sample: The sample.
            weight: Factor from 0 to 1 on the smoothing.
        """
        if self.sample_count == 0:
            self.mean = sample
        self.mean += self._smoothing * weight * (sample - self.mean)
        self.sample_count += 1
