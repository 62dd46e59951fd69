"""Bar charts of benchmark results."""

import collections.abc
import pathlib
import statistics

from matplotlib import axes as axes_module
from matplotlib import figure

from mustardwood.benchmarks import result as result_module

_Results = collections.abc.Sequence[result_module.Result]


def plot_attainment(results: _Results, path: pathlib.Path) -> None:
    """Plots the mean attainment of each policy by scenario into a file.

    Args:
        results: Results of all runs.
        path: Image file to write; its extension selects the format.
    """
    workloads = sorted({each.workload for each in results})
    plot = figure.Figure(figsize=(11, 4 * len(workloads)), layout="constrained")
    axes = plot.subplots(len(workloads), 1, squeeze=False)
    for row, workload in enumerate(workloads):
        own = [each for each in results if each.workload == workload]
        _plot_workload(axes[row][0], workload, own)
    plot.savefig(path)


def _plot_workload(axis: axes_module.Axes, workload: str,
                   results: _Results) -> None:
    scenarios = list(dict.fromkeys(each.scenario for each in results))
    policies = list(dict.fromkeys(each.policy for each in results))
    width = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        heights = [
            statistics.fmean(each.attainment
                             for each in results
                             if (each.policy, each.scenario) == (policy, name))
            for name in scenarios
        ]
        positions = [
            position + index * width for position in range(len(scenarios))
        ]
        axis.bar(positions, heights, width, label=policy)
    axis.set_title(f"{workload}: requests that met their targets")
    axis.set_xticks([position + 0.4 for position in range(len(scenarios))],
                    [name.replace(" ", "\n", 2) for name in scenarios],
                    fontsize=7)
    axis.set_ylim(0, 1.15)
    axis.legend(fontsize=7, ncols=len(policies))
