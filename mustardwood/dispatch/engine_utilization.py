"""Utilization of a service's engines, as it is observed."""

import collections.abc
import datetime
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import load_table

_TIME_CONSTANT = datetime.timedelta(seconds=0.5)
"""Time constant of the exponentially weighted utilization."""


class EngineUtilization:
    """Measures which share of their capacity the engines of a service use.

    An engine that prefills is fully used, however few requests it has: one
    more prompt waits for those before it. Otherwise, its running requests use
    their share of its slots. Nothing is assumed about the engine's speed.
    """

    def __init__(self, clock: timing.Clock,
                 loads: load_table.LoadTable) -> None:
        """Creates a measurement of engines that were idle until now.

        Args:
            clock: Source of the monotonic time.
            loads: Load of the engines from all VMs.
        """
        self._clock = clock
        self._loads = loads
        self._updated_at = clock.monotonic()
        self._uses: dict[str, load_table.EndpointUse] = {}
        self._average = 0.0

    @property
    def average(self) -> float:
        """Utilization from 0 to 1, averaged over engines and time."""
        return self._average

    def update(
            self, engines: collections.abc.Sequence[endpoint_module.Endpoint]
    ) -> None:
        """Adds the engines' use since the last update to the average.

        Args:
            engines: The engines that requests may be sent to.
        """
        now = self._clock.monotonic()
        weight = 1.0 - math.exp(-((now - self._updated_at) / _TIME_CONSTANT))
        self._updated_at = now
        known = self._uses
        self._uses = {
            each.name: self._loads.measure_use(each.name) for each in engines
        }
        shares = [
            self._measure(each, known[each.name])
            for each in engines
            if each.name in known
        ]
        if weight and shares:
            self._average += weight * (sum(shares) / len(shares) -
                                       self._average)

    def _measure(self, engine: endpoint_module.Endpoint,
                 known: load_table.EndpointUse) -> float:
        use = self._uses[engine.name]
        elapsed = use.measured_at - known.measured_at
        if not elapsed:
            return 0.0
        used = (use.prefill_time - known.prefill_time +
                (use.request_time - known.request_time) / max(1, engine.slots))
        # The times of an engine that was removed and is back begin at 0 again.
        return min(max(used / elapsed, 0.0), 1.0)
