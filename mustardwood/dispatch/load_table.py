"""The work on all endpoints, as far as this VM knows."""

import datetime

from mustardwood import timing
from mustardwood.dispatch import endpoint_load

PEER_LIFETIME = datetime.timedelta(seconds=1)
"""Age from which a peer's figures no longer count: ten missed messages."""

_IDLE = endpoint_load.EndpointLoad()


class LoadTable:
    """Adds this VM's own work to what its peers last reported.

    Load pattern: callers spread unevenly over the VMs, so a VM that counts
    only its own requests sends them to endpoints that others have filled.

    Attributes:
        version: Changes with this VM's own work.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self.version = 0
        self._own: dict[str, endpoint_load.EndpointLoad] = {}
        self._peers: dict[str, tuple[datetime.timedelta,
                                     dict[str,
                                          endpoint_load.EndpointLoad]]] = {}

    def add(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Adds work of this VM."""
        self.version += 1
        self._own[endpoint] = self._own.get(endpoint, _IDLE) + load

    def subtract(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Removes work of this VM that has ended."""
        self.version += 1
        rest = self._own.get(endpoint, _IDLE) - load
        if rest == _IDLE:
            self._own.pop(endpoint, None)
        else:
            self._own[endpoint] = rest

    def list_own(self) -> dict[str, endpoint_load.EndpointLoad]:
        """Returns this VM's work by endpoint, for its peers."""
        return dict(self._own)

    def set_peer(self, peer: str,
                 loads: dict[str, endpoint_load.EndpointLoad]) -> None:
        """Takes over a peer's report."""
        self._peers[peer] = (self._clock.monotonic(), loads)

    def find_load(self, endpoint: str) -> endpoint_load.EndpointLoad:
        """Returns the work on an endpoint of this VM and its peers."""
        total = self._own.get(endpoint, _IDLE)
        oldest = self._clock.monotonic() - PEER_LIFETIME
        for received, loads in self._peers.values():
            if received >= oldest:
                other = loads.get(endpoint)
                if other is not None:
                    total = total + other
        return total

    def count_peers(self) -> int:
        """Returns the number of peers whose figures count."""
        oldest = self._clock.monotonic() - PEER_LIFETIME
        return sum(received >= oldest for received, _ in self._peers.values())
