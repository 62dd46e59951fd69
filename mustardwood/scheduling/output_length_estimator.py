"""Estimation of output lengths."""

from mustardwood import configuration

_SMOOTHING = 0.1
"""Weight of a new sample in the moving average."""


class OutputLengthEstimator:
    """Exponentially weighted mean output length by class and organisation.

    The mean of the class is used for an organisation without complete answers.
    """

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], float] = {}

    def record(self, class_name: str, organisation: str, tokens: int) -> None:
        """Records the length of a complete answer, in tokens."""
        for key in ((class_name, organisation), (class_name, "")):
            mean = self._means.get(key, float(tokens))
            self._means[key] = mean + _SMOOTHING * (tokens - mean)

    def estimate(self,
                 request_class: configuration.RequestClass,
                 organisation: str = "",
                 max_tokens: int | None = None) -> float:
        """Returns the expected length of an answer, in tokens.

        Args:
            request_class: Class of the request.
            organisation: Organisation; empty for the mean of the class.
            max_tokens: Maximum length that the caller set; None or 0 for none.
        """
        name = request_class.name
        mean = self._means.get((name, organisation))
        if mean is None:
            mean = self._means.get((name, ""))
        if mean is None:
            mean = float(request_class.expected_output_tokens)
        if max_tokens is None or max_tokens <= 0:
            return mean
        return min(mean, float(max_tokens))
