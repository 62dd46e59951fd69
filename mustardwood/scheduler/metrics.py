"""Prometheus metrics of the scheduler process."""

import datetime

import prometheus_client

from mustardwood import messages

_WAIT_BUCKETS = (0.001, 0.005, 0.02, 0.1, 0.3, 1, 3, 10, 30, 100, 300)
"""Bucket upper bounds of the wait histogram, in seconds."""


class SchedulerMetrics:
    """Counts the grants and refusals of all cells.

    It implements `scheduling.Observer`.

    Attributes:
        queue_length: Gauge of the number of waiting requests, by cell.
        dropped_messages: Gauge of the number of messages that the link has
            dropped.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.queue_length = prometheus_client.Gauge(
            "mustardwood_scheduler_queue_length",
            "Requests that wait in a cell.", ["cell"],
            registry=registry)
        self.dropped_messages = prometheus_client.Gauge(
            "mustardwood_scheduler_dropped_messages",
            "Messages that the link dropped since the start.",
            registry=registry)
        self._grants = prometheus_client.Counter("mustardwood_scheduler_grants",
                                                 "Grants by class.",
                                                 ["request_class"],
                                                 registry=registry)
        self._refusals = prometheus_client.Counter(
            "mustardwood_scheduler_refusals",
            "Refusals by class and reason.", ["request_class", "reason"],
            registry=registry)
        self._waits = prometheus_client.Histogram(
            "mustardwood_scheduler_wait_seconds",
            "Wait from arrival to grant, by class.", ["request_class"],
            buckets=_WAIT_BUCKETS,
            registry=registry)

    def record_grant(self, class_name: str, waited: datetime.timedelta) -> None:
        """Counts a grant and observes the time since the request's arrival."""
        self._grants.labels(class_name).inc()
        self._waits.labels(class_name).observe(waited.total_seconds())

    def record_refusal(self, class_name: str,
                       reason: messages.RefusalReason) -> None:
        """Counts a refusal."""
        self._refusals.labels(class_name, reason.value).inc()
