"""Processor time and traffic of the agents by the number of VMs."""

import collections.abc
import gc
import time

import msgspec

from mustardwood.benchmarks.capacity import agent_fleet
from mustardwood.benchmarks.capacity import sized_document

_WARM_UP_SECONDS = 12.0
_MEASUREMENT_SECONDS = 30.0
_STEP_SECONDS = 0.25
_MAX_WAIT_SECONDS = 60.0


class FleetResult(msgspec.Struct, frozen=True):
    """Results for one fleet size; rates are means over the agents.

    Attributes:
        vms: Number of VMs.
        cpu_us_per_second: Processor time of an agent, in microseconds per
            second, for decisions and message encoding, without sockets.
        sent_bytes_per_second: Bytes per second sent to other VMs.
        received_bytes_per_second: Bytes per second received from other VMs.
        messages_per_second: Messages per second received from other VMs.
        local_bytes_per_second: Bytes per second sent to processes of the same
            VM.
        calls_per_second: Platform calls per second of the whole fleet, by
            kind.
        change_seconds: Simulated time until a configuration change was in
            force everywhere.
        change_sent_bytes: Mean number of bytes that an agent sent for the
            change, in addition to its normal traffic.
        change_cpu_ms: Mean processor time of an agent for the change, in
            milliseconds, in addition to its normal load.
        detection_seconds: Simulated time until all VMs considered a lost VM
            dead.
        first_detection_seconds: Simulated time until the first VM did.
        falsely_dead: Number of live VMs that some VM considered dead at the
            end.
    """

    vms: int
    cpu_us_per_second: float
    sent_bytes_per_second: float
    received_bytes_per_second: float
    messages_per_second: float
    local_bytes_per_second: float
    calls_per_second: dict[str, float]
    change_seconds: float
    change_sent_bytes: float
    change_cpu_ms: float
    detection_seconds: float
    first_detection_seconds: float
    falsely_dead: int


class _Usage:
    """Snapshot of the resource counters of a fleet.

    Attributes:
        cpu: Processor time of this process, in seconds.
        sent: Bytes sent between VMs.
        received: Bytes received from other VMs.
        local: Bytes sent within VMs.
        messages: Messages received from other VMs.
        calls: Platform calls by kind.
    """

    def __init__(self, fleet: agent_fleet.AgentFleet) -> None:
        links = fleet.agent_links.values()
        self.cpu = time.process_time()
        self.sent = sum(each.sent_bytes for each in links)
        self.received = sum(each.received_bytes for each in links)
        self.local = sum(each.local_bytes for each in links)
        self.messages = fleet.network.received
        self.calls = dict(fleet.platform.calls)


def measure(vms: int, seed: int = 1) -> FleetResult:
    """Measures a fleet of one size with the largest configuration.

    Args:
        vms: Number of VMs.
        seed: Seed of the random number generators.
    """
    gc.collect()
    fleet = agent_fleet.AgentFleet(vms, seed)
    document = sized_document.make_document()
    fleet.write_configuration(1, document)
    fleet.start()
    fleet.reactor.run(_WARM_UP_SECONDS)
    before = _Usage(fleet)
    fleet.reactor.run(_MEASUREMENT_SECONDS)
    after = _Usage(fleet)
    per_vm_second = 1 / (vms * _MEASUREMENT_SECONDS)
    sent_rate = (after.sent - before.sent) * per_vm_second
    cpu_rate = (after.cpu - before.cpu) * per_vm_second
    fleet.write_configuration(2, document)
    change_seconds = _run_until(fleet, lambda: fleet.is_in_force(2))
    after_change = _Usage(fleet)
    lost_vm = f"vm-{vms // 2}"
    fleet.kill(lost_vm)
    first = _run_until(fleet, lambda: fleet.count_vms_seeing_dead(lost_vm) > 0)
    detection = first + _run_until(
        fleet, lambda: fleet.count_vms_seeing_dead(lost_vm) == vms - 1)
    return FleetResult(
        vms, cpu_rate * 1e6, sent_rate,
        (after.received - before.received) * per_vm_second,
        (after.messages - before.messages) * per_vm_second,
        (after.local - before.local) * per_vm_second, {
            kind: (count - before.calls.get(kind, 0)) / _MEASUREMENT_SECONDS
            for kind, count in after.calls.items()
        }, change_seconds,
        (after_change.sent - after.sent) / vms - sent_rate * change_seconds,
        ((after_change.cpu - after.cpu) / vms - cpu_rate * change_seconds) *
        1e3, detection, first, fleet.count_falsely_dead())


def _run_until(fleet: agent_fleet.AgentFleet,
               condition: collections.abc.Callable[[], bool]) -> float:
    """Runs until a condition holds and returns the simulated seconds.

    Returns infinity if the condition does not hold within the maximum wait.
    """
    started_at = fleet.reactor.seconds()
    while not condition():
        if fleet.reactor.seconds() - started_at > _MAX_WAIT_SECONDS:
            return float("inf")
        fleet.reactor.run(_STEP_SECONDS)
    return fleet.reactor.seconds() - started_at
