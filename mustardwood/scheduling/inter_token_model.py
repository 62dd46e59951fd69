"""Model of the inter-token time of a cell's endpoints at a given load."""

from mustardwood.scheduling import inter_token_sample

_DECAY = 0.99
"""Factor by which each new sample reduces the weight of the earlier ones."""
_MIN_SAMPLES = 10
_MIN_RUNNING_VARIANCE = 1.0
"""Minimum variance of the load, in attempts squared, to compute a slope."""


class InterTokenModel:
    """Linear regression of the inter-token time on the running attempts.

    The inter-token time of an endpoint grows in proportion to its batch [1]_.
    The model predicts the time that is usual at a load, so that busy endpoints
    are not mistaken for stragglers. The weight of older samples decays
    exponentially.

    References:
        .. [1] A. Agrawal et al., "Taming throughput-latency tradeoff in LLM
           inference with Sarathi-Serve", OSDI 2024.

    Examples:
        >>> model = InterTokenModel()
        >>> for running in range(1, 21):
        ...     seconds = 0.02 + 0.001 * running
        ...     model.record(
        ...         inter_token_sample.InterTokenSample(seconds, 0.06, 64,
        ...                                             running))
        >>> round(model.predict(10), 3)
        0.03
    """

    def __init__(self) -> None:
        self._sample_count = 0
        self._weight_sum = 0.0
        self._running_sum = 0.0
        self._seconds_sum = 0.0
        self._running_squared_sum = 0.0
        self._product_sum = 0.0

    def record(self, sample: inter_token_sample.InterTokenSample) -> None:
        """Adds a sample."""
        weight = sample.weight
        self._sample_count += 1
        self._weight_sum = self._weight_sum * _DECAY + weight
        self._running_sum = self._running_sum * _DECAY + weight * sample.running
        self._seconds_sum = self._seconds_sum * _DECAY + weight * sample.seconds
        self._running_squared_sum = (self._running_squared_sum * _DECAY +
                                     weight * sample.running**2)
        self._product_sum = (self._product_sum * _DECAY +
                             weight * sample.running * sample.seconds)

    def predict(self, running: int) -> float | None:
        """Returns the usual inter-token time, in seconds.

        Args:
            running: Number of attempts that run on the endpoint.

        Returns:
            The time; None while there are too few samples.
        """
        if self._sample_count < _MIN_SAMPLES or self._weight_sum <= 0.0:
            return None
        mean_running = self._running_sum / self._weight_sum
        mean_seconds = self._seconds_sum / self._weight_sum
        slope = self._compute_slope(mean_running, mean_seconds)
        predicted = mean_seconds + slope * (running - mean_running)
        return max(predicted, mean_seconds / 2)

    def _compute_slope(self, mean_running: float, mean_seconds: float) -> float:
        variance = (self._running_squared_sum / self._weight_sum -
                    mean_running**2)
        if variance < _MIN_RUNNING_VARIANCE:
            return 0.0
        covariance = (self._product_sum / self._weight_sum -
                      mean_running * mean_seconds)
        return max(0.0, covariance / variance)
