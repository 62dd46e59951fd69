"""Plots of the report on error-budget burn, as inline SVG."""

import collections
import io
import typing

import matplotlib

matplotlib.use("svg")

from matplotlib import figure  # pylint: disable=wrong-import-position

from mustardwood import reports  # pylint: disable=wrong-import-position

_WIDTH_INCHES = 9.0
_HEIGHT_INCHES = 2.6
_COLOURS = ("#1f5fa8", "#c2571a", "#2f7d4f", "#8a4fa3", "#a8842c", "#5c6670",
            "#b03a5b", "#3a9aa8")


def plot_attainment(report: reports.BurnReport) -> str:
    """Returns an SVG plot of the attainment of each class by minute.

    Attainment is the share of the requests that met their latency targets.
    """
    return _plot_lines(
        report, "attainment", lambda point: point.met / point.asked
        if point.asked else None, 1.03)


def plot_tokens(report: reports.BurnReport) -> str:
    """Returns an SVG plot of useful and wasted tokens by minute."""
    useful: collections.Counter[int] = collections.Counter()
    wasted: collections.Counter[int] = collections.Counter()
    for point in report.timeline:
        useful[point.minute] += point.useful_tokens
        wasted[point.minute] += point.wasted_tokens
    minutes = sorted(useful.keys() | wasted.keys())
    plot_figure, axes = _make_axes("tokens")
    minutes_ago = [minute - minutes[-1] for minute in minutes]
    axes.bar(minutes_ago, [useful[each] for each in minutes],
             color=_COLOURS[0],
             label="useful")
    axes.bar(minutes_ago, [wasted[each] for each in minutes],
             bottom=[useful[each] for each in minutes],
             color=_COLOURS[1],
             label="wasted")
    return _render(plot_figure, axes)


def _plot_lines(report: reports.BurnReport, label: str,
                compute_value: typing.Any, upper_limit: float) -> str:
    lines: dict[str, list[tuple[int, float]]] = collections.defaultdict(list)
    last_minute = max((point.minute for point in report.timeline), default=0)
    for point in report.timeline:
        value = compute_value(point)
        if value is not None:
            lines[point.class_name].append((point.minute - last_minute, value))
    plot_figure, axes = _make_axes(label)
    for index, (name, points) in enumerate(sorted(lines.items())):
        axes.plot(*zip(*points),
                  marker="o",
                  markersize=3,
                  linewidth=1.4,
                  color=_COLOURS[index % len(_COLOURS)],
                  label=name.replace("$", r"\$"))
    axes.set_ylim(-0.03, upper_limit)
    return _render(plot_figure, axes)


def _make_axes(label: str) -> tuple[figure.Figure, typing.Any]:
    plot_figure = figure.Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES),
                                layout="constrained")
    axes: typing.Any = plot_figure.add_subplot()
    axes.set_ylabel(label)
    axes.set_xlabel("minutes before the last one")
    axes.set_xlim(-60, 1)
    axes.grid(axis="y", color="#dddddd", linewidth=0.6)
    axes.set_axisbelow(True)
    axes.spines[["top", "right"]].set_visible(False)
    return plot_figure, axes


def _render(plot_figure: figure.Figure, axes: typing.Any) -> str:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="center left",
                    bbox_to_anchor=(1.0, 0.5),
                    frameon=False,
                    fontsize="small")
    target = io.StringIO()
    plot_figure.savefig(target, format="svg", metadata={"Date": None})
    text = target.getvalue()
    return text[text.index("<svg"):]
