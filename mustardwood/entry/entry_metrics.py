"""Prometheus metrics of an entry."""

import collections.abc
import datetime

import prometheus_client

_FIRST_TOKEN_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.33, 0.66, 1.0, 2.0, 5.0,
                        10.0, 30.0, 60.0, 120.0)
"""Bucket upper bounds of the first-token histogram, in seconds."""


class EntryMetrics:
    """Prometheus metrics of requests by request class.

    It implements `routing.RequestMetrics`.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._requests = prometheus_client.Counter("mustardwood_requests",
                                                   "Requests that arrived.",
                                                   ["class"],
                                                   registry=registry)
        self._first_token = prometheus_client.Histogram(
            "mustardwood_first_token_seconds",
            "Time from arrival to the first token.", ["class"],
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=registry)
        self._refusals = prometheus_client.Counter("mustardwood_refusals",
                                                   "Final errors.",
                                                   ["class", "code"],
                                                   registry=registry)
        self._retries = prometheus_client.Counter("mustardwood_retries",
                                                  "Retries.", ["class"],
                                                  registry=registry)
        self._tokens = prometheus_client.Counter("mustardwood_tokens",
                                                 "Tokens of whole answers.",
                                                 ["class"],
                                                 registry=registry)
        self._wasted_tokens = prometheus_client.Counter(
            "mustardwood_wasted_tokens",
            "Tokens generated in vain.", ["class", "cause"],
            registry=registry)

    def count_request(self, class_name: str) -> None:
        """Counts the arrival of a request."""
        self._requests.labels(class_name).inc()

    def observe_first_token(self, class_name: str,
                            delay: datetime.timedelta) -> None:
        """Observes the time from arrival to the first token."""
        self._first_token.labels(class_name).observe(delay.total_seconds())

    def count_refusal(self, class_name: str, code: str) -> None:
        """Counts a request that ended with an error."""
        self._refusals.labels(class_name, code).inc()

    def count_retry(self, class_name: str) -> None:
        """Counts a retry."""
        self._retries.labels(class_name).inc()

    def count_tokens(self, class_name: str, tokens: int) -> None:
        """Counts the tokens of complete responses."""
        self._tokens.labels(class_name).inc(tokens)

    def count_waste(self, class_name: str, cause: str, tokens: int) -> None:
        """Counts generated tokens that were wasted."""
        if tokens > 0:
            self._wasted_tokens.labels(class_name, cause).inc(tokens)


def add_version_gauge(registry: prometheus_client.CollectorRegistry,
                      get_version: collections.abc.Callable[[], int]) -> None:
    """Adds a gauge of the current configuration version.

    Args:
        registry: Registry that the gauge is added to.
        get_version: Returns the version; 0 if there is no configuration.
    """
    gauge = prometheus_client.Gauge(
        "mustardwood_configuration_version",
        "Configuration version in force at the entry.",
        registry=registry)
    gauge.set_function(get_version)
