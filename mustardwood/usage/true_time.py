"""True time, estimated from the clocks of all VMs."""

import collections.abc
import datetime
import statistics

from mustardwood import timing
from mustardwood.usage import usage_windows

_MIN_SETTLING_TIME = datetime.timedelta(seconds=1.5)
"""Time after the start before which the clocks of peers are not all known.

A VM gets the addresses of its peers and sends them its clock within a second.
"""
_MAX_SETTLING_TIME = datetime.timedelta(seconds=3)
"""Time after the start after which clocks that are missing are not awaited."""
_MAX_STEP = datetime.timedelta(milliseconds=200)
"""Change of the median that is followed at once.

It is a twenty-fifth of a window of 5 s, which is within the tolerated error.
"""
_CONFIRMATION_TIME = datetime.timedelta(seconds=3)
"""Time for which a larger change must last before it is followed.

After a suspension, a VM reads datagrams with clocks that are late by the time
of the suspension. Each peer sends its clock again within a second.
"""
_COMPUTATION_INTERVAL = datetime.timedelta(milliseconds=100)
"""Interval at which the median is computed at most."""


class TrueTime:
    """Estimates true time as the median of the VMs' wall clocks.

    Clocks of VMs differ by seconds and may jump. The median stays within the
    range of the sound clocks as long as these are the majority. Between two
    clock readings, time passes as on this VM's monotonic clock.

    The clock of a peer that is no longer heard from is kept until the peer is
    forgotten, so that a VM that is cut off keeps its true time.
    """

    def __init__(self, clock: timing.Clock,
                 count_peers: collections.abc.Callable[[], int]) -> None:
        """Creates an estimate that knows only this VM's clock.

        Args:
            clock: Its monotonic time must include the time of suspensions.
            count_peers: Returns the number of known peers.
        """
        self._clock = clock
        self._count_peers = count_peers
        self._started_at = clock.monotonic()
        self._offsets: dict[str, datetime.timedelta] = {}
        self._offset = self._find_own_offset()
        self._computed_at = self._started_at
        self._deviates_since: datetime.timedelta | None = None
        self._is_settled = False

    @property
    def is_settled(self) -> bool:
        """Whether the clocks of the peers are known, or were long awaited."""
        self._update()
        return self._is_settled

    @property
    def own_deviation(self) -> datetime.timedelta:
        """Time by which this VM's wall clock is ahead of true time."""
        self._update()
        return self._find_own_offset() - self._offset

    def record_peer_clock(self, peer: str, time: datetime.datetime) -> None:
        """Records the wall clock of a peer.

        Args:
            peer: Name of the peer.
            time: Its wall clock when it sent a message that arrives now.
        """
        self._offsets[peer] = (time - usage_windows.EPOCH -
                               self._clock.monotonic())

    def forget_peer(self, peer: str) -> None:
        """Discards the clock of a peer that has left."""
        self._offsets.pop(peer, None)

    def now(self) -> datetime.datetime:
        """Returns the true time, as far as is known."""
        return self.convert(self._clock.monotonic())

    def convert(self, monotonic: datetime.timedelta) -> datetime.datetime:
        """Returns the true time at a time of the monotonic clock."""
        self._update()
        return usage_windows.EPOCH + self._offset + monotonic

    def _find_own_offset(self) -> datetime.timedelta:
        return (self._clock.now() - usage_windows.EPOCH -
                self._clock.monotonic())

    def _update(self) -> None:
        now = self._clock.monotonic()
        if self._is_settled and now - self._computed_at < _COMPUTATION_INTERVAL:
            return
        self._computed_at = now
        median = self._find_median()
        if not self._is_settled:
            self._offset = median
            self._is_settled = self._knows_clocks(now - self._started_at)
        elif abs(median - self._offset) <= _MAX_STEP:
            self._offset = median
            self._deviates_since = None
        elif self._deviates_since is None:
            self._deviates_since = now
        elif now - self._deviates_since >= _CONFIRMATION_TIME:
            self._offset = median
            self._deviates_since = None

    def _knows_clocks(self, age: datetime.timedelta) -> bool:
        if age < _MIN_SETTLING_TIME:
            return False
        return (len(self._offsets) >= self._count_peers() or
                age >= _MAX_SETTLING_TIME)

    def _find_median(self) -> datetime.timedelta:
        seconds = [each.total_seconds() for each in self._offsets.values()]
        seconds.append(self._find_own_offset().total_seconds())
        return datetime.timedelta(seconds=statistics.median(seconds))
