"""Text output of the streaming path benchmark."""

from mustardwood.benchmarks.path import level_result

ADDED_P99_GOAL_MS = 10.0
"""Goal for the added 99th percentile of the time to the first token."""

CPU_GOAL_US = 100.0
"""Goal for the entry's processor time for each streamed token."""

RSS_GOAL_MEGABYTES = 110.0
"""Goal for the resident memory of scheduler and agent together."""

_HEADER = ("streams  calls        direct p50/p99 ms  routed p50/p99 ms  "
           "added p50/p99 ms  us/token  entry cores  not whole")


def format_result(result: level_result.PathResult) -> str:
    """Formats the results and, for each goal, whether it is met."""
    lines = [_HEADER]
    lines += [_format_level(each) for each in result.levels]
    lines.append("")
    lines += [
        f"rss {name}: {size:.1f} MB"
        for name, size in result.rss_megabytes.items()
    ]
    before, after = result.load_average
    lines.append(f"machine: {result.cores} cores, load average {before:.1f} "
                 f"before and {after:.1f} after")
    lines.append("")
    lines += _format_goals(result)
    return "\n".join(lines)


def _format_level(each: level_result.LevelResult) -> str:
    calls = "+".join(str(count) for count in each.calls)
    direct = f"{each.direct_p50_ms:.1f}/{each.direct_p99_ms:.1f}"
    routed = f"{each.routed_p50_ms:.1f}/{each.routed_p99_ms:.1f}"
    added = f"{each.added_p50_ms:.1f}/{each.added_p99_ms:.1f}"
    return (f"{each.streams:7}  {calls:11}  {direct:17}  {routed:17}  "
            f"{added:16}  {each.cpu_us_per_token:8.0f}  "
            f"{each.entry_cores:11.3f}  {each.broken}")


def _format_goals(result: level_result.PathResult) -> list[str]:
    goals = [
        ("added first token p99",
         max(each.added_p99_ms for each in result.levels), ADDED_P99_GOAL_MS,
         "ms"),
        ("CPU a streamed token",
         max(each.cpu_us_per_token for each in result.levels), CPU_GOAL_US,
         "us"),
        ("scheduler and agent RSS",
         result.rss_megabytes["scheduler"] + result.rss_megabytes["agent"],
         RSS_GOAL_MEGABYTES, "MB"),
    ]
    return [
        f"{name}: {value:.1f} {unit}, goal under {goal:g} {unit}: "
        f"{'met' if value < goal else 'NOT MET'}"
        for name, value, goal, unit in goals
    ]
