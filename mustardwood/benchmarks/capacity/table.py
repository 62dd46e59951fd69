"""Text output of the capacity benchmark."""

from mustardwood.benchmarks.capacity import agent_cost
from mustardwood.benchmarks.capacity import capacity_result
from mustardwood.benchmarks.capacity import slope


def format_result(result: capacity_result.CapacityResult) -> str:
    """Formats the results as text."""
    before, after = result.load_average
    lines = [
        f"machine: {result.cores} cores, load average {before:.1f} before and "
        f"{after:.1f} after", "",
        "slopes: name: base + cost for each unit; size: median [least, largest]"
    ]
    lines += [_format_slope(each) for each in result.slopes]
    lines += ["", "real processes without requests"]
    lines += [
        f"{part}: {each.cores:.4f} cores, {each.rss_megabytes:.1f} MB"
        for part, each in result.idle.items()
    ]
    lines += ["", "agents in virtual time, links in memory, 1800 endpoints"]
    for fleet in result.fleets:
        lines += _format_fleet(fleet)
    return "\n".join(lines)


def _format_slope(line: slope.Slope) -> str:
    points = ", ".join(
        f"{each.size:g}: {each.cost:.4g} [{each.least:.4g}, {each.largest:.4g}]"
        for each in line.points)
    return (f"{line.name}: {line.base:.4g} {line.unit} + {line.per_unit:.4g} "
            f"{line.unit}/{line.size_unit}; {points}")


def _format_fleet(fleet: agent_cost.FleetResult) -> list[str]:
    calls = ", ".join(f"{kind} {rate:.2f}"
                      for kind, rate in sorted(fleet.calls_per_second.items()))
    return [
        f"{fleet.vms} VMs, an agent: {fleet.cpu_us_per_second:.0f} us CPU/s, "
        f"{fleet.sent_bytes_per_second:.0f} B/s sent, "
        f"{fleet.received_bytes_per_second:.0f} B/s and "
        f"{fleet.messages_per_second:.2f} messages/s received, "
        f"{fleet.local_bytes_per_second:.0f} B/s within the VM",
        f"  platform's calls a second, whole fleet: {calls}",
        f"  a change: {fleet.change_seconds:.2f} s until in force everywhere, "
        f"{fleet.change_sent_bytes:.0f} B sent and {fleet.change_cpu_ms:.1f} "
        f"ms CPU an agent",
        f"  a lost VM: first known dead after {fleet.first_detection_seconds} "
        f"s, by all after {fleet.detection_seconds} s; "
        f"{fleet.falsely_dead} live VMs held for dead",
    ]
