"""The pace that a cell's endpoints have at some load."""

from mustardwood.scheduling import pace_sample

_DECAY = 0.99
"""Weight that a sample keeps at each later one."""
_FEWEST_SAMPLES = 10
_SMALLEST_VARIANCE = 1.0
"""Variance of the load, in attempts squared, that a slope needs."""


class PaceModel:
    """Least-squares line of the time between tokens over running attempts.

    Endpoints with more work are slower in proportion to their batch [1]_; the
    line tells how slow, so that stragglers are not confused with busy
    endpoints. Older samples fade.

    References:
        .. [1] A. Agrawal et al., "Taming throughput-latency tradeoff in LLM
           inference with Sarathi-Serve", OSDI 2024.

    Examples:
        >>> model = PaceModel()
        >>> for running in range(1, 21):
        ...     seconds = 0.02 + 0.001 * running
        ...     model.record(pace_sample.PaceSample(seconds, 0.06, 64, running))
        >>> round(model.predict(10), 3)
        0.03
    """

    def __init__(self) -> None:
        self._samples = 0
        self._weight = 0.0
        self._running = 0.0
        self._seconds = 0.0
        self._running_squared = 0.0
        self._product = 0.0

    def record(self, sample: pace_sample.PaceSample) -> None:
        """Takes in a sample."""
        trust = sample.trust
        self._samples += 1
        self._weight = self._weight * _DECAY + trust
        self._running = self._running * _DECAY + trust * sample.running
        self._seconds = self._seconds * _DECAY + trust * sample.seconds
        self._running_squared = (self._running_squared * _DECAY +
                                 trust * sample.running**2)
        self._product = (self._product * _DECAY +
                         trust * sample.running * sample.seconds)

    def predict(self, running: int) -> float | None:
        """Returns the usual time between tokens, in seconds.

        Args:
            running: Attempts that run on the endpoint.

        Returns:
            The time; None while there are too few samples.
        """
        if self._samples < _FEWEST_SAMPLES or self._weight <= 0.0:
            return None
        mean_running = self._running / self._weight
        mean_seconds = self._seconds / self._weight
        slope = self._compute_slope(mean_running, mean_seconds)
        predicted = mean_seconds + slope * (running - mean_running)
        return max(predicted, mean_seconds / 2)

    def _compute_slope(self, mean_running: float, mean_seconds: float) -> float:
        variance = self._running_squared / self._weight - mean_running**2
        if variance < _SMALLEST_VARIANCE:
            return 0.0
        covariance = self._product / self._weight - mean_running * mean_seconds
        return max(0.0, covariance / variance)
