"""Plots of the report on service-level burn, as inline SVG."""

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
    """Plots the attainment of each class by minute."""
    return _plot_lines(
        report, "attainment", lambda point: point.met / point.asked
        if point.asked else None, 1.03)


def plot_tokens(report: reports.BurnReport) -> str:
    """Plots useful and wasted tokens by minute."""
    useful: collections.Counter[int] = collections.Counter()
    wasted: collections.Counter[int] = collections.Counter()
    for point in report.timeline:
        useful[point.minute] += point.useful_tokens
        wasted[point.minute] += point.wasted_tokens
    minutes = sorted(useful.keys() | wasted.keys())
    drawing, axes = _make_axes("tokens")
    ages = [minute - minutes[-1] for minute in minutes]
    axes.bar(ages, [useful[each] for each in minutes],
             color=_COLOURS[0],
             label="useful")
    axes.bar(ages, [wasted[each] for each in minutes],
             bottom=[useful[each] for each in minutes],
             color=_COLOURS[1],
             label="wasted")
    return _render(drawing, axes)


def _plot_lines(report: reports.BurnReport, label: str, compute: typing.Any,
                top: float) -> str:
    lines: dict[str, list[tuple[int, float]]] = collections.defaultdict(list)
    last = max((point.minute for point in report.timeline), default=0)
    for point in report.timeline:
        value = compute(point)
        if value is not None:
            lines[point.class_name].append((point.minute - last, value))
    drawing, axes = _make_axes(label)
    for index, (name, points) in enumerate(sorted(lines.items())):
        axes.plot(*zip(*points),
                  marker="o",
                  markersize=3,
                  linewidth=1.4,
                  color=_COLOURS[index % len(_COLOURS)],
                  label=name.replace("$", r"\$"))
    axes.set_ylim(-0.03, top)
    return _render(drawing, axes)


def _make_axes(label: str) -> tuple[figure.Figure, typing.Any]:
    drawing = figure.Figure(figsize=(_WIDTH_INCHES, _HEIGHT_INCHES),
                            layout="constrained")
    axes: typing.Any = drawing.add_subplot()
    axes.set_ylabel(label)
    axes.set_xlabel("minutes before the last one")
    axes.set_xlim(-60, 1)
    axes.grid(axis="y", color="#dddddd", linewidth=0.6)
    axes.set_axisbelow(True)
    axes.spines[["top", "right"]].set_visible(False)
    return drawing, axes


def _render(drawing: figure.Figure, axes: typing.Any) -> str:
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="center left",
                    bbox_to_anchor=(1.0, 0.5),
                    frameon=False,
                    fontsize="small")
    target = io.StringIO()
    drawing.savefig(target, format="svg", metadata={"Date": None})
    text = target.getvalue()
    return text[text.index("<svg"):]
