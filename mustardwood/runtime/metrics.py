"""The registry of a process's metrics."""

import prometheus_client


def make_registry() -> prometheus_client.CollectorRegistry:
    """Returns a registry with the metrics of the process itself."""
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    prometheus_client.GCCollector(registry=registry)
    return registry
