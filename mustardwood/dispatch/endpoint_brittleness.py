"""Brittle endpoints, which fail if they turn too many requests away."""

import collections.abc
import datetime
import random

from mustardwood import timing
from mustardwood.dispatch import endpoint as endpoint_module
from mustardwood.dispatch import endpoint_pauses
from mustardwood.dispatch import pause_statement

_LIFETIME = datetime.timedelta(seconds=10)
"""Time for which a statement holds; each response of the endpoint repeats it.
"""
_SECOND = datetime.timedelta(seconds=1)
_MAX_SPREAD = 6.0
"""Longest pause as a multiple of the shortest.

All VMs may be refused at the same moment, and should not return at one.
"""


class EndpointBrittleness:
    """Keeps the refusals of brittle endpoints within what they bear.

    Failure: an endpoint that has to turn too many requests away in a second for
    want of room falls over, and its requests fall on the others, which are full
    then. Each VM knows of this only by responses.

    While an endpoint states how many refusals in a second it bears, this VM
    sends it no more requests than it has slots, by the loads that are known. A
    refusal leads to a pause by which this VM takes no more than its part of
    that number: the number of VMs divided by it, in seconds, and a random time.
    The pause is reported to the peers, which count the endpoint as full.
    """

    def __init__(
        self,
        clock: timing.Clock,
        pauses: endpoint_pauses.EndpointPauses,
        count_vms: collections.abc.Callable[[], int],
        rng: random.Random,
        on_change: collections.abc.Callable[[str, int | None], None] |
        None = (None)
    ) -> None:
        """Creates a table without brittle endpoints.

        Args:
            clock: Source of the monotonic time.
            pauses: Keeps this VM's requests from an endpoint for a time.
            count_vms: Returns the number of VMs that send requests.
            rng: Draws the lengths of pauses.
            on_change: Called with an endpoint and the number of refusals in a
                second that it bears, None if it is not brittle any more.
        """
        self._clock = clock
        self._pauses = pauses
        self._count_vms = count_vms
        self._rng = rng
        self._on_change = on_change
        self._limits: dict[str, tuple[int, datetime.timedelta]] = {}

    def record_response(self, endpoint: endpoint_module.Endpoint,
                        max_refusals: int | None, was_refused: bool) -> None:
        """Records what a response states of its endpoint.

        Args:
            endpoint: The endpoint.
            max_refusals: Number of refusals in a second that it bears; None if
                it states none.
            was_refused: Whether it has turned the request away.
        """
        name = endpoint.incarnation
        known = self._limits.get(name)
        if max_refusals is None:
            if known is not None:
                del self._limits[name]
                self._report(name, None)
            return
        now = self._clock.monotonic()
        self._drop_expired(now)
        self._limits[name] = max_refusals, now + _LIFETIME
        if known is None or known[0] != max_refusals:
            self._report(name, max_refusals)
        if was_refused:
            seconds = max(1, self._count_vms()) / max(1, max_refusals)
            seconds *= self._rng.uniform(1.0, _MAX_SPREAD)
            self._pauses.record_response(
                endpoint, pause_statement.PauseStatement(seconds * _SECOND))

    def has_room(self, endpoint: endpoint_module.Endpoint,
                 requests: int) -> bool:
        """Returns whether an endpoint may get one more request.

        Args:
            endpoint: The endpoint.
            requests: Number of requests that are known to be there.
        """
        if endpoint.incarnation not in self._limits:
            return True
        self._drop_expired(self._clock.monotonic())
        return (endpoint.incarnation not in self._limits or
                requests < endpoint.slots)

    @property
    def is_empty(self) -> bool:
        """Whether no endpoint is known to be brittle."""
        return not self._limits

    def _drop_expired(self, now: datetime.timedelta) -> None:
        expired = [
            name for name, (_, until) in self._limits.items() if until <= now
        ]
        for name in expired:
            del self._limits[name]
            self._report(name, None)

    def _report(self, name: str, max_refusals: int | None) -> None:
        if self._on_change is not None:
            self._on_change(name, max_refusals)
