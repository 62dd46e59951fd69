"""Prometheus metrics of the ordering of endpoints."""

import collections.abc

from prometheus_client import core
from prometheus_client import registry

from mustardwood import scaling
from mustardwood.scaling import scaling_duty

_LABELS = ("service", "zone", "kind")
_KINDS = {False: "regular", True: "preemptible"}
"""Values of the label `kind`."""


class ScalingMetrics(registry.Collector):
    """Reads the metrics when the page is requested; a Prometheus collector."""

    def __init__(self, planner: scaling.EndpointPlanner,
                 duty: scaling_duty.ScalingDuty) -> None:
        self._planner = planner
        self._duty = duty

    def collect(self) -> collections.abc.Iterator[core.Metric]:
        """Returns the metrics, as `prometheus_client` expects it."""
        wanted = core.GaugeMetricFamily("mustardwood_endpoints_wanted",
                                        "Endpoints that this VM would order.",
                                        labels=_LABELS)
        for service, plan in sorted(self._planner.list_plans().items()):
            for (zone, is_preemptible), count in sorted(plan.counts.items()):
                wanted.add_metric((service, zone, _KINDS[is_preemptible]),
                                  count)
        yield wanted
        present = core.GaugeMetricFamily(
            "mustardwood_endpoints_present",
            "Registered endpoints of services that are scaled.",
            labels=(*_LABELS, "state"))
        for group, record in sorted(self._planner.list_records().items()):
            labels = group.service, group.zone, _KINDS[group.is_preemptible]
            present.add_metric((*labels, "ready"), record.ready_count)
            present.add_metric((*labels, "draining"), record.draining_count)
        yield present
        orders = core.CounterMetricFamily("mustardwood_endpoint_orders",
                                          "Ended orders of this VM.",
                                          labels=("outcome",))
        for outcome, count in sorted(self._duty.results.items()):
            orders.add_metric((outcome,), count)
        yield orders
