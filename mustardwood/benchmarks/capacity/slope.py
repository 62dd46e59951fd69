"""Slopes of a cost over a size."""

import collections.abc
import statistics

import msgspec


class Point(msgspec.Struct, frozen=True):
    """The cost at one size.

    Attributes:
        size: The size.
        cost: Median of the repetitions.
        least: Least of them.
        largest: Largest of them.
    """

    size: float
    cost: float
    least: float
    largest: float


class Slope(msgspec.Struct, frozen=True):
    """A line through the medians, by least squares.

    Attributes:
        name: What was measured.
        unit: Unit of the cost.
        size_unit: Unit of the size.
        base: Cost at size 0.
        per_unit: Cost for each unit of size.
        points: What the line goes through.
    """

    name: str
    unit: str
    size_unit: str
    base: float
    per_unit: float
    points: tuple[Point, ...]


def fit_slope(
    name: str, unit: str, size_unit: str,
    samples: collections.abc.Mapping[float, collections.abc.Sequence[float]]
) -> Slope:
    """Fits a line.

    Args:
        name: What was measured.
        unit: Unit of the cost.
        size_unit: Unit of the size.
        samples: Costs by size, at least two sizes.

    Examples:
        >>> line = fit_slope("x", "us", "items", {1: [3.0], 2: [5.0], 3: [7.0]})
        >>> line.base, line.per_unit
        (1.0, 2.0)
    """
    points = tuple(
        Point(size, statistics.median(costs), min(costs), max(costs))
        for size, costs in sorted(samples.items()))
    line = statistics.linear_regression([each.size for each in points],
                                        [each.cost for each in points])
    return Slope(name, unit, size_unit, line.intercept, line.slope, points)
