"""Decides whether the store's answers prove that a configuration is the newest.
"""

import datetime

from mustardwood import timing
from mustardwood.platform import store_client

_REWRITE_TIME = datetime.timedelta(seconds=2)
"""Time after a restore in which what the copy lacks is written again.

The platform names about two seconds.
"""


class FreshnessGate:
    """Tells whether the store shows the newest configuration.

    Failure: a store that is restored from a copy has lost the configurations
    written since. Until the operator has written the newest one again, an
    answer does not prove that no newer one exists, and an API key that was
    taken away would be accepted again. So a new era's answers prove nothing
    until the configuration was written in it, or the time to do so is over, and
    never while they show an older version than the one in force.
    """

    def __init__(self, clock: timing.Clock, is_first_start: bool) -> None:
        """Creates a gate that is closed until an era has begun.

        Args:
            clock: Measures the time since a restore.
            is_first_start: Whether the whole system starts for the first time,
                so that no configuration can have been lost before.
        """
        self._clock = clock
        self._is_first_start = is_first_start
        self._start = store_client.Position(-1)
        self._closed_until: datetime.timedelta | None = None
        self._shown_version: int | None = None

    def start_era(self, position: store_client.Position) -> None:
        """Handles the first answer of an era.

        Args:
            position: The store's position when it answered.
        """
        is_first_era = self._start.era < 0
        self._start = position
        self._shown_version = None
        if is_first_era and (self._is_first_start or position.era == 0):
            self._closed_until = None
        else:
            self._closed_until = self._clock.monotonic() + _REWRITE_TIME

    def record_shown(self, version: int,
                     position: store_client.Position) -> None:
        """Records a configuration that the store has shown in this era.

        Args:
            version: Its version.
            position: Its position.
        """
        self._shown_version = version
        # At a lower revision it may be the copy's, also if this VM knows that
        # version at another revision: the operator may write a version twice.
        if position > self._start:
            self._closed_until = None

    def is_open(self, version: int) -> bool:
        """Returns whether an answer is a proof for a configuration in force.

        Args:
            version: Version of the configuration in force.
        """
        if self._shown_version is None or self._shown_version < version:
            return False
        return (self._closed_until is None or
                self._clock.monotonic() >= self._closed_until)
