"""The work on all endpoints, as far as this VM knows."""

import collections
import collections.abc
import datetime

from mustardwood import timing
from mustardwood.dispatch import endpoint_load

PEER_REPORT_LIFETIME = datetime.timedelta(seconds=1)
"""Age from which a peer's figures no longer count: ten missed messages."""

_RUN_TOKENS = 2048
"""Prompt tokens that an engine reads in one step."""

_IDLE = endpoint_load.EndpointLoad()


class LoadTable:
    """Adds this VM's own work to what its peers last reported.

    Load pattern: callers spread unevenly over the VMs, so a VM that counts
    only its own requests sends them to endpoints that others have filled.

    Attributes:
        version: Changes with this VM's own work.
    """

    def __init__(self,
                 clock: timing.Clock,
                 chunk_tokens: int = _RUN_TOKENS) -> None:
        """Creates a table without work.

        Args:
            clock: Tells how old reports are.
            run_tokens: Prompt tokens from which an engine is reading prompts
                without a break; fewer are read in one step.
        """
        self._clock = clock
        self._run_tokens = chunk_tokens
        self._runs: dict[str, datetime.timedelta] = {}
        self.version = 0
        self._own: dict[str, endpoint_load.EndpointLoad] = {}
        self._totals: dict[str, endpoint_load.EndpointLoad] = {}
        self._peers: collections.OrderedDict[str, tuple[
            datetime.timedelta,
            dict[str, endpoint_load.EndpointLoad]]] = collections.OrderedDict()

    def add(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Adds work of this VM."""
        self.version += 1
        _add(self._own, endpoint, load)
        self._add_total(endpoint, load)

    def subtract(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Removes work of this VM that has ended."""
        self.add(endpoint, _IDLE - load)

    def list_own_loads(self) -> dict[str, endpoint_load.EndpointLoad]:
        """Returns this VM's work by endpoint, for its peers."""
        return dict(self._own)

    def set_peer_loads(self, peer: str,
                       loads: dict[str, endpoint_load.EndpointLoad]) -> None:
        """Takes over a peer's report."""
        _, known = self._peers.pop(peer, (None, {}))
        for endpoint in known.keys() | loads.keys():
            self._add_total(
                endpoint,
                loads.get(endpoint, _IDLE) - known.get(endpoint, _IDLE))
        self._peers[peer] = (self._clock.monotonic(), loads)

    def confirm_peer_loads(self, peer: str) -> bool:
        """Learns that a peer's last report still holds.

        Returns:
            Whether it is known; it is not once it has expired.
        """
        self._drop_expired()
        known = self._peers.get(peer)
        if known is None:
            return False
        self._peers[peer] = (self._clock.monotonic(), known[1])
        self._peers.move_to_end(peer)
        return True

    def list_total_loads(
            self) -> collections.abc.Mapping[str, endpoint_load.EndpointLoad]:
        """Returns the work of this VM and its peers by busy endpoint.

        The totals are kept, not added up, since a choice looks at all
        endpoints and large deployments have many peers.
        """
        self._drop_expired()
        return self._totals

    def find_load(self, endpoint: str) -> endpoint_load.EndpointLoad:
        """Returns the work on an endpoint of this VM and its peers."""
        return self.list_total_loads().get(endpoint, _IDLE)

    def find_prefill_duration(self, endpoint: str) -> datetime.timedelta:
        """Returns for how long an engine has read prompts without a break."""
        since = self._runs.get(endpoint)
        if since is None:
            return datetime.timedelta()
        return self._clock.monotonic() - since

    def count_peers(self) -> int:
        """Returns the number of peers whose figures count."""
        self._drop_expired()
        return len(self._peers)

    def _drop_expired(self) -> None:
        oldest = self._clock.monotonic() - PEER_REPORT_LIFETIME
        while self._peers:
            peer, (received, _) = next(iter(self._peers.items()))
            if received >= oldest:
                return
            self._drop_peer(peer)

    def _drop_peer(self, peer: str) -> None:
        _, loads = self._peers.pop(peer, (None, {}))
        for endpoint, load in loads.items():
            self._add_total(endpoint, _IDLE - load)

    def _add_total(self, endpoint: str,
                   load: endpoint_load.EndpointLoad) -> None:
        total = _add(self._totals, endpoint, load)
        if total.prefill_tokens < self._run_tokens:
            self._runs.pop(endpoint, None)
        elif endpoint not in self._runs:
            self._runs[endpoint] = self._clock.monotonic()


def _add(loads: dict[str, endpoint_load.EndpointLoad], endpoint: str,
         load: endpoint_load.EndpointLoad) -> endpoint_load.EndpointLoad:
    total = loads.get(endpoint, _IDLE) + load
    if total == _IDLE:
        loads.pop(endpoint, None)
    else:
        loads[endpoint] = total
    return total
