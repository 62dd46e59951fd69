"""The metrics registry of a process."""

import prometheus_client


def make_registry() -> prometheus_client.CollectorRegistry:
    """Creates a registry with the metrics of the process itself.

    These are the metrics of its resources and of the garbage collector.
    """
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)
    prometheus_client.GCCollector(registry=registry)
    return registry
