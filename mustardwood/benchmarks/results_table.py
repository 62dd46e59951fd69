"""Markdown tables of benchmark results."""

import collections
import collections.abc
import statistics

from mustardwood.benchmarks import result as result_module

_Results = collections.abc.Sequence[result_module.Result]
_Groups = dict[tuple[str, str], list[result_module.Result]]
_Policies = dict[str, list[result_module.Result]]
_HEADER = ("policy", "attained", "goodput", "wasted", "inverted", "fairness",
           "KB/s", "attained by class (tier order)", "longest wait s")


def format_results(results: _Results) -> str:
    """Returns a Markdown table for each scenario, with means over the seeds."""
    groups: _Groups = collections.defaultdict(list)
    for each in results:
        groups[each.workload, each.scenario].append(each)
    return "\n\n".join(
        _format_group(f"{workload}: {scenario}", group)
        for (workload, scenario), group in groups.items())


def _format_group(title: str, group: _Results) -> str:
    policies: _Policies = collections.defaultdict(list)
    for each in group:
        policies[each.policy].append(each)
    names = ", ".join(each.name for each in group[0].classes)
    lines = [
        f"### {title}", "", f"Classes: {names}.", "",
        "| " + " | ".join(_HEADER) + " |", "|" + " --- |" * len(_HEADER)
    ]
    lines += [_format_row(name, runs) for name, runs in policies.items()]
    return "\n".join(lines)


def _format_row(name: str, runs: _Results) -> str:
    attained = _mean(each.attainment for each in runs)
    spread = (max(each.attainment for each in runs) -
              min(each.attainment for each in runs))
    columns = list(zip(*(each.classes for each in runs)))
    by_class = " ".join(f"{_mean(each.attainment for each in column):.3f}"
                        for column in columns)
    waits = " ".join(f"{max(each.longest_wait for each in column):.0f}"
                     for column in columns)
    cells = (name, f"{attained:.3f} ±{spread / 2:.3f}",
             f"{_mean(each.goodput for each in runs):.0f}",
             f"{_mean(each.wasted for each in runs):.2%}",
             str(sum(each.inversions for each in runs)),
             f"{min(each.fairness for each in runs):.3f}",
             f"{_mean(each.control_kilobytes for each in runs):.1f}", by_class,
             waits)
    return "| " + " | ".join(cells) + " |"


def _mean(values: collections.abc.Iterable[float]) -> float:
    return statistics.fmean(values)
