"""Which engines take long prompts."""

import collections.abc
import datetime
import hashlib
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import load_table
from mustardwood.dispatch import placement_settings

_INTERVAL = datetime.timedelta(milliseconds=250)
"""Time between looks at the load."""
_WEIGHT = 0.1
"""Weight of a look in the moving average: changes take two or three seconds."""
_DIGEST_BYTES = 8

_Endpoints = collections.abc.Sequence[endpoint_module.Endpoint]


class EngineSplit:
    """Keeps some engines free of long prompts, as many as brisk streams need.

    Load pattern: a rush of long prompts or of brisk streams needs another
    share than a quiet hour. The engines are ranked by a hash that all VMs
    share, so a change of the share moves one engine and its subjects.
    """

    def __init__(self, clock: timing.Clock, loads: load_table.LoadTable,
                 settings: placement_settings.PlacementSettings) -> None:
        self._clock = clock
        self._loads = loads
        self._settings = settings
        self._looked: datetime.timedelta | None = None
        self._streams = 0.0
        self._ranked: tuple[endpoint_module.Endpoint, ...] = ()
        self._names: list[str] = []

    def find_long_engines(self, usable: _Endpoints) -> frozenset[str]:
        """Returns the names of the engines that take long prompts.

        Args:
            usable: The engines of one service.
        """
        if tuple(usable) != self._ranked:
            self._ranked = tuple(usable)
            self._names = sorted((each.name for each in usable), key=_hash)
        self._look()
        return frozenset(self._names[self._count_free():])

    def _look(self) -> None:
        now = self._clock.monotonic()
        if self._looked is not None and now - self._looked < _INTERVAL:
            return
        self._looked = now
        streams = sum(
            self._loads.find_load(name).brisk_streams for name in self._names)
        self._streams += _WEIGHT * (streams - self._streams)

    def _count_free(self) -> int:
        settings, count = self._settings, len(self._names)
        wanted = math.ceil(self._streams / settings.brisk_streams)
        least = round(settings.least_brisk_share * count)
        most = math.floor(settings.most_brisk_share * count)
        return min(max(wanted, least), most)


def _hash(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()
