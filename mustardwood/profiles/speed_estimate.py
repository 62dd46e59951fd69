"""Speed of one engine relative to its service."""

import collections
import datetime
import math
import statistics

from mustardwood.profiles import engine_profile

_TIME_CONSTANT = datetime.timedelta(seconds=10)
"""Time constant of the moving average."""
_PRIOR_WEIGHT = 10.0
"""Number of samples as which the service's own speed counts."""
_MAX_WEIGHT = 200.0
"""Limit of the weight of the samples."""
_WINDOW = datetime.timedelta(seconds=2)
"""Time from which the median of the last samples is taken."""
_MIN_DISTANCE = datetime.timedelta(milliseconds=100)
"""Minimum time between two samples of the median.

A prompt of which the VM does not know prolongs the events of all streams on the
engine for some hundred milliseconds, and these must not be the majority.
"""
_MIN_SAMPLES = 5
"""Minimum number of samples of a change of speed."""
_CHANGE = math.log(1.7)
"""Logarithm of the factor from which a change of speed is one at once."""
_MAX_LOG = math.log(20.0)
"""Limit of the logarithm of the factor."""
_LIFETIME = datetime.timedelta(seconds=30)
"""Time without samples after which the engine counts like its service.

A slow engine gets fewer requests, and whether it is fast again shows only when
it gets some.
"""
_MAX_STEP = 0.5
"""Limit of a sample's deviation from the average, as a logarithm."""


class SpeedEstimate:
    """Estimates by which factor an engine is slower than its service.

    Failure: an engine is five times slower for some seconds. The moving
    average limits the influence of each sample, as Huber's estimator does, and
    so follows slowly. If the running median [1]_ of the last two seconds
    differs much from it, the average starts again from the median.

    References:
        .. [1] J. W. Tukey, "Exploratory Data Analysis", Addison-Wesley, 1977,
           chapter 7.

    Attributes:
        slowdown: The factor; 1 before there are samples.
        updated_at: Monotonic time of the last sample.
        version: Version of the engine's software.
    """

    def __init__(self, version: str, now: datetime.timedelta) -> None:
        self.version = version
        self.updated_at = now
        self.slowdown = 1.0
        self._average = 0.0
        self._weight = _PRIOR_WEIGHT
        self._basis: engine_profile.EngineProfile | None = None
        self._profile = engine_profile.PRIOR
        self._recent: collections.deque[tuple[datetime.timedelta,
                                              float]] = collections.deque()

    def add(self, ratio: float, now: datetime.timedelta) -> bool:
        """Adds a sample.

        Args:
            ratio: Measured time divided by that which the service's profile
                states; greater than 0.
            now: Monotonic time.

        Returns:
            Whether the speed has changed by much at once.
        """
        sample = min(max(math.log(ratio), -_MAX_LOG), _MAX_LOG)
        factor = math.exp(-(now - self.updated_at) / _TIME_CONSTANT)
        self.updated_at = now
        self._weight = min(
            _MAX_WEIGHT,
            _PRIOR_WEIGHT + (self._weight - _PRIOR_WEIGHT) * factor + 1.0)
        step = min(max(sample - self._average, -_MAX_STEP), _MAX_STEP)
        self._average += step / self._weight
        if not self._recent or now - self._recent[-1][0] >= _MIN_DISTANCE:
            self._recent.append((now, sample))
        while self._recent and self._recent[0][0] < now - _WINDOW:
            self._recent.popleft()
        is_changed = self._detect_change()
        self.slowdown = math.exp(self._average)
        self._basis = None
        return is_changed

    def find_profile(self, service: engine_profile.EngineProfile,
                     now: datetime.timedelta) -> engine_profile.EngineProfile:
        """Returns the engine's profile.

        Args:
            service: Profile of its service.
            now: Monotonic time.
        """
        if now - self.updated_at >= _LIFETIME:
            return service
        if service is not self._basis:
            self._basis = service
            self._profile = service.slow_down(self.slowdown)
        return self._profile

    def _detect_change(self) -> bool:
        if (len(self._recent) < _MIN_SAMPLES or
                abs(self._recent[-1][1] - self._average) < _CHANGE):
            return False
        median = statistics.median(each for _, each in self._recent)
        if abs(median - self._average) < _CHANGE:
            return False
        self._average = median
        self._weight = _PRIOR_WEIGHT
        return True
