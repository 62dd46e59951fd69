"""Correction of an estimated demand by what the engines are observed to do."""

import collections.abc
import datetime
import math

_TIME_CONSTANT = datetime.timedelta(seconds=1)
"""Time in which most of a deviation is corrected, that of a few responses."""
_PEER_TIME_CONSTANT = datetime.timedelta(seconds=1)
"""Time in which the factors of VMs approach each other."""
_MIN_FACTOR = 0.1
_MAX_FACTOR = 10.0
"""Limits of the factor, for engines up to ten times as fast or as slow as
estimated."""
_MIN_EXPECTED = 0.05
"""Expected utilization below which the observed one says little."""


class DemandCorrection:
    """Learns by which factor the demand for a service is estimated wrongly.

    Load pattern: the engines are faster or slower than their profiles, cache
    more than is assumed, or the load changes faster than its average. Requests
    were refused beside idle engines for as long as the estimate was too high.

    The correction closes the loop by integral control of the utilization [1]_:
    while requests are refused and the engines are used less than they may be,
    the factor falls. It rises to the one that explains the utilization, beyond
    1 only while the engines are used more than they may be: a light load says
    little about how the engines bear a heavy one.

    References:
        .. [1] T. F. Abdelzaher, K. G. Shin, N. Bhatti, "Performance guarantees
           for web server end-systems: a control-theoretical approach", IEEE
           Transactions on Parallel and Distributed Systems 13(1), 2002.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._has_peers = False

    @property
    def factor(self) -> float:
        """Factor on the estimated demand."""
        return self._factor

    def update(self, elapsed: datetime.timedelta, expected: float,
               observed: float, target: float, is_refusing: bool) -> None:
        """Moves the factor by the difference of expected and observed use.

        Args:
            elapsed: Time since the last update.
            expected: Share of the engines' time that the admitted requests
                need by the estimate, without a correction.
            observed: Utilization of the engines, from 0 to 1.
            target: Utilization up to which requests are admitted.
            is_refusing: Whether requests are refused because of the estimate.
        """
        if is_refusing and observed < target:
            deviation = (target - observed) / target
            self._set(self._factor * math.exp(-deviation *
                                              (elapsed / _TIME_CONSTANT)))
        elif expected >= _MIN_EXPECTED:
            wanted = observed / expected
            if observed < target:
                wanted = min(wanted, 1.0)
            if wanted > self._factor:
                self._move(wanted, elapsed, _TIME_CONSTANT)

    def approach(self, elapsed: datetime.timedelta,
                 factors: collections.abc.Sequence[float]) -> None:
        """Moves the factor towards those of the peers.

        Without this, VMs with different requests would drift apart and refuse
        different tiers. A VM that has just started takes over theirs.

        Args:
            elapsed: Time since the last update.
            factors: Factors of the peers.
        """
        if not factors:
            return
        mean = math.exp(sum(math.log(each) for each in factors) / len(factors))
        if not self._has_peers:
            self._has_peers = True
            self._factor = mean
        self._move(mean, elapsed, _PEER_TIME_CONSTANT)

    def _move(self, factor: float, elapsed: datetime.timedelta,
              time_constant: datetime.timedelta) -> None:
        weight = 1.0 - math.exp(-(elapsed / time_constant))
        self._set(self._factor * (factor / self._factor)**weight)

    def _set(self, factor: float) -> None:
        self._factor = min(max(factor, _MIN_FACTOR), _MAX_FACTOR)
