"""Robust regression with bounds, a prior and exponential forgetting."""

import collections.abc
import dataclasses
import datetime
import math

_HUBER_LIMIT = 1.345
"""Residual, in multiples of the scale, from which a sample counts less.

With it, Huber's estimator has 95% of the efficiency of least squares if errors
are normally distributed.
"""
_INITIAL_SCALE = 0.5
"""Relative error of a sample that is assumed before there are any."""
_MIN_SCALE = 0.1
"""Lower limit of it, so that a change of speed is not taken for an outlier."""
_SCALE_GAIN = 0.02
"""Weight of a sample in the moving average of the relative errors."""
_ABSOLUTE_TO_STANDARD = 1.2533
"""Standard deviation divided by the mean absolute deviation, if normal."""
_PRIOR_NOISE = 0.3
"""Relative error of a sample that the weight of the prior assumes."""
_MAX_IDLE = datetime.timedelta(seconds=1)
"""Time without samples from which older ones are not forgotten further."""
_SWEEPS = 40
"""Iterations of the solver, which starts from the last solution."""


@dataclasses.dataclass(frozen=True)
class Coefficient:
    """What is known of a coefficient before there are samples.

    Attributes:
        prior: Its value without samples.
        deviation: Standard deviation of the prior.
        lower: Minimum value.
        upper: Maximum value.
    """

    prior: float
    deviation: float
    lower: float
    upper: float


class BoundedRegression:
    """Estimates the coefficients of a sum of products from samples.

    It is the recursive least M-estimate [1]_ with the weights of Huber [2]_ and
    relative errors, because the samples' errors grow with their size. The
    scale of the errors is estimated from samples below the expectation only:
    work of the engine that the VM does not know of makes samples larger, never
    smaller. A normal prior keeps the coefficients determined when the samples
    are alike. The bounds are met by projected Gauss-Seidel iterations [3]_.

    References:
        .. [1] Y. Zou, S. C. Chan and T. S. Ng, "A recursive least M-estimate
           (RLM) adaptive filter for robust filtering in impulse noise", IEEE
           Signal Processing Letters 7(11), 2000.
        .. [2] P. J. Huber, "Robust estimation of a location parameter", Annals
           of Mathematical Statistics 35(1), 1964.
        .. [3] C. Hildreth, "A quadratic programming procedure", Naval Research
           Logistics Quarterly 4(1), 1957.
        .. [4] W. K. Newey and J. L. Powell, "Asymmetric least squares
           estimation and testing", Econometrica 55(4), 1987.

    Attributes:
        weight: Number of samples that are not forgotten, by their weights.
    """

    def __init__(self,
                 coefficients: collections.abc.Sequence[Coefficient],
                 min_expected: float,
                 time_constant: datetime.timedelta,
                 upper_weight: float = 1.0) -> None:
        """Creates an estimate from the prior.

        Args:
            coefficients: What is known of the coefficients.
            min_expected: Minimum expectation to which errors are relative.
            time_constant: Time in which the weight of a sample falls to 1/e
                while there are further samples.
            upper_weight: Weight of samples above the expectation, from 0 to 1.
                Below 1, the expectation is a low expectile [4]_.
        """
        self._coefficients = tuple(coefficients)
        self._min_expected = min_expected
        self._time_constant = time_constant
        self._upper_weight = upper_weight
        self._size = len(self._coefficients)
        self._precisions = [
            (_PRIOR_NOISE / each.deviation)**2 for each in self._coefficients
        ]
        self._matrix = [[0.0] * self._size for _ in range(self._size)]
        self._vector = [0.0] * self._size
        self._values = [each.prior for each in self._coefficients]
        self._scale = _INITIAL_SCALE
        self._added_at: datetime.timedelta | None = None
        self._is_changed = False
        self.weight = 0.0

    @property
    def values(self) -> tuple[float, ...]:
        """The coefficients by the last solution."""
        return tuple(self._values)

    @property
    def error(self) -> float:
        """Relative standard error of an expectation; 1 for the prior."""
        return min(1.0, self._scale / math.sqrt(self.weight + self._scale**2))

    def add(self, factors: collections.abc.Sequence[float], value: float,
            now: datetime.timedelta) -> None:
        """Adds a sample.

        Args:
            factors: Factors of the coefficients.
            value: Measured value, the expectation of which is the sum of the
                coefficients times their factors.
            now: Monotonic time.
        """
        self._forget(now)
        expected = max(self.find_expected(factors), self._min_expected)
        error = (value - expected) / expected
        weight = min(1.0, _HUBER_LIMIT * self._scale / max(abs(error), 1e-9))
        if error < 0.0:
            self._scale = max(
                _MIN_SCALE, self._scale + _SCALE_GAIN *
                (_ABSOLUTE_TO_STANDARD * -error - self._scale))
        else:
            weight *= self._upper_weight
        self.weight += weight
        weight /= expected * expected
        for row, factor in enumerate(factors):
            if factor:
                weighted = weight * factor
                line = self._matrix[row]
                for column, other in enumerate(factors):
                    line[column] += weighted * other
                self._vector[row] += weighted * value
        self._is_changed = True

    def find_expected(self, factors: collections.abc.Sequence[float]) -> float:
        """Returns the expectation of a sample by the last solution."""
        return sum(map(float.__mul__, self._values, map(float, factors)))

    def solve(self) -> tuple[float, ...]:
        """Returns the coefficients that fit the samples and the prior best."""
        if self._is_changed:
            self._is_changed = False
            for _ in range(_SWEEPS):
                for row, line in enumerate(self._matrix):
                    self._values[row] = self._solve_row(row, line)
        return tuple(self._values)

    def _solve_row(self, row: int, line: list[float]) -> float:
        known, precision = self._coefficients[row], self._precisions[row]
        rest = self._vector[row] + precision * known.prior
        for column, value in enumerate(self._values):
            if column != row:
                rest -= line[column] * value
        return min(max(rest / (line[row] + precision), known.lower),
                   known.upper)

    def _forget(self, now: datetime.timedelta) -> None:
        if self._added_at is not None:
            factor = math.exp(-min(now - self._added_at, _MAX_IDLE) /
                              self._time_constant)
            self.weight *= factor
            self._vector = [each * factor for each in self._vector]
            self._matrix = [
                [each * factor for each in line] for line in self._matrix
            ]
        self._added_at = now
