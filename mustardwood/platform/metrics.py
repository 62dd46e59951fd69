"""Prometheus metrics of the process."""

import collections.abc
import datetime
import http

import prometheus_client
import prometheus_client.core
import prometheus_client.registry

from mustardwood import http1

PATH = "/metrics"
"""Path of the metrics page."""
_BUCKET_BOUNDS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0, 15.0)
"""Bucket bounds in seconds; the users' latency targets are among them."""


class ProcessMetrics:
    """Counts requests and attempts; implements `dispatch.Metrics`."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._requests = prometheus_client.Counter(
            "mustardwood_requests",
            "Requests with their final answer.", ["tier", "outcome", "status"],
            registry=self._registry)
        self._attempts = prometheus_client.Counter(
            "mustardwood_attempts",
            "Attempts at endpoints, by their end.", ["service", "end"],
            registry=self._registry)
        self._request_seconds = prometheus_client.Histogram(
            "mustardwood_request_seconds",
            "Time to the end of the answer.", ["tier"],
            buckets=_BUCKET_BOUNDS_SECONDS,
            registry=self._registry)
        self._first_byte_seconds = prometheus_client.Histogram(
            "mustardwood_first_byte_seconds",
            "Time to the first byte.", ["tier"],
            buckets=_BUCKET_BOUNDS_SECONDS,
            registry=self._registry)

    def add_gauge(self, name: str, help_text: str,
                  get_value: collections.abc.Callable[[], float]) -> None:
        """Adds a gauge whose value is read when the page is requested.

        Args:
            name: Name of the metric.
            help_text: Description of the metric on the page.
            get_value: Returns the value of the metric.
        """
        gauge = prometheus_client.Gauge(name,
                                        help_text,
                                        registry=self._registry)
        gauge.set_function(get_value)

    def add_collector(self,
                      collector: prometheus_client.registry.Collector) -> None:
        """Adds metrics that are read when the page is requested.

        Args:
            collector: Returns the metrics.
        """
        self._registry.register(collector)

    def add_counter(
        self, name: str, help_text: str, label: str,
        get_values: collections.abc.Callable[[], collections.abc.Mapping[str,
                                                                         int]]
    ) -> None:
        """Adds a counter whose values are read when the page is requested.

        Args:
            name: Name of the metric, without its suffix.
            help_text: Description of the metric on the page.
            label: Name of its label.
            get_values: Returns the values by the values of the label.
        """
        self._registry.register(
            _LabelledCounter(name, help_text, label, get_values))

    def count_request(self, tier: int, outcome: str, status: int,
                      took: datetime.timedelta,
                      first_byte: datetime.timedelta | None) -> None:
        """See `dispatch.Metrics`."""
        self._requests.labels(tier, outcome, status).inc()
        self._request_seconds.labels(tier).observe(took.total_seconds())
        if first_byte is not None:
            self._first_byte_seconds.labels(tier).observe(
                first_byte.total_seconds())

    def count_attempt(self, service: str, end: str) -> None:
        """See `dispatch.Metrics`."""
        self._attempts.labels(service, end).inc()

    def build_page(self) -> http1.Page:
        """Returns the metrics in the text format of Prometheus."""
        return http1.Page(http.HTTPStatus.OK,
                          prometheus_client.generate_latest(self._registry),
                          prometheus_client.CONTENT_TYPE_LATEST)


class _LabelledCounter(prometheus_client.registry.Collector):
    """A counter whose values are read when the page is requested."""

    def __init__(
        self, name: str, help_text: str, label: str,
        get_values: collections.abc.Callable[[], collections.abc.Mapping[str,
                                                                         int]]
    ) -> None:
        self._name = name
        self._help_text = help_text
        self._label = label
        self._get_values = get_values

    def collect(
        self
    ) -> collections.abc.Iterable[prometheus_client.core.CounterMetricFamily]:
        """Returns the present values."""
        family = prometheus_client.core.CounterMetricFamily(
            self._name, self._help_text, labels=[self._label])
        for each, value in self._get_values().items():
            family.add_metric([each], value)
        return [family]
