"""Metrics of the agent."""

import collections
import collections.abc

import prometheus_client

from mustardwood import messages


class AgentMetrics:
    """Gauges of members, configuration version and link traffic.

    Args:
        registry: Registry of the gauges.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self._members = prometheus_client.Gauge("mustardwood_members",
                                                "VMs by state.", ["state"],
                                                registry=registry)
        self._version = prometheus_client.Gauge(
            "mustardwood_configuration_version",
            "Configuration version in force at the agent.",
            registry=registry)
        self._bytes = prometheus_client.Gauge("mustardwood_link_bytes",
                                              "Bytes on links since the start.",
                                              ["direction"],
                                              registry=registry)
        self._watcher = prometheus_client.Gauge(
            "mustardwood_platform_watcher",
            "1 when this agent watches the platform.",
            registry=registry)

    def set_members(self,
                    members: collections.abc.Iterable[messages.Member]) -> None:
        """Sets the number of VMs in each state."""
        counts = collections.Counter(each.state for each in members)
        for state in messages.MemberState:
            self._members.labels(state.value).set(counts[state])

    def set_version(self, version: int) -> None:
        """Sets the configuration version in force."""
        self._version.set(version)

    def set_watcher(self, watcher: bool) -> None:
        """Sets whether this agent watches the platform."""
        self._watcher.set(int(watcher))

    def set_bytes(self, sent: int, received: int) -> None:
        """Sets the numbers of bytes sent and received since the start."""
        self._bytes.labels("sent").set(sent)
        self._bytes.labels("received").set(received)
