"""Linear fits of a cost over a size."""

import collections.abc
import statistics

import msgspec


class Point(msgspec.Struct, frozen=True):
    """The cost at one size.

    Attributes:
        size: The size.
        cost: Median cost of the repetitions.
        least: Minimum cost of the repetitions.
        largest: Maximum cost of the repetitions.
    """

    size: float
    cost: float
    least: float
    largest: float


class Slope(msgspec.Struct, frozen=True):
    """A least-squares line through the median costs.

    Attributes:
        name: Name of the measured cost.
        unit: Unit of the cost.
        size_unit: Unit of the size.
        base: Cost at size 0 according to the line.
        per_unit: Additional cost for each unit of size.
        points: Measured costs by size.
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
    """Fits a least-squares line to the median cost at each size.

    Args:
        name: Name of the measured cost.
        unit: Unit of the cost.
        size_unit: Unit of the size.
        samples: Measured costs by size, for at least two sizes.

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
