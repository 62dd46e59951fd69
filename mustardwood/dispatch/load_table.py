"""Load of all endpoints from this VM and its peers."""

import collections
import collections.abc
import dataclasses
import datetime
import math

from mustardwood import timing
from mustardwood.dispatch import endpoint_load

PEER_REPORT_LIFETIME = datetime.timedelta(seconds=1)
"""Minimum age from which a peer's report is ignored.

It is that of ten lost messages in a row in small deployments.
"""

_LIFETIME_INTERVALS = 2.5
"""Lifetime of a peer's report as a multiple of the interval of reports."""

_CHUNK_TOKENS = 2048
"""Prompt tokens that an engine prefills in one step."""

_PREFILL_SHARE_TIME_CONSTANT = datetime.timedelta(seconds=2)
"""Time constant of the exponentially weighted share of prefill.

It is shorter than a stream of usual length, so that the share is known before
a stream has lost its time.
"""

_IDLE = endpoint_load.EndpointLoad()


@dataclasses.dataclass(frozen=True)
class EndpointUse:
    """Times for which an endpoint was used, since an arbitrary start.

    Attributes:
        measured_at: Monotonic time at which they were measured.
        prefill_time: Time for which it has been prefilling continuously.
        request_time: Time for which it ran requests and did not, summed over
            the requests.
        prefill_share: Share of the recent time for which it was prefilling
            continuously, from 0 to 1, as an exponentially weighted average.
    """

    measured_at: datetime.timedelta
    prefill_time: datetime.timedelta = datetime.timedelta()
    request_time: datetime.timedelta = datetime.timedelta()
    prefill_share: float = 0.0


class LoadTable:
    """The load of endpoints: this VM's requests and its peers' last reports.

    Load pattern: callers are distributed unevenly over the VMs, so a VM that
    counted its own requests only would send them to endpoints that are already
    full with requests of other VMs.

    Attributes:
        version: Counts the changes of this VM's own load.
    """

    def __init__(self,
                 clock: timing.Clock,
                 chunk_tokens: int = _CHUNK_TOKENS) -> None:
        """Creates an empty table.

        Args:
            clock: Measures the age of reports.
            chunk_tokens: Number of waiting prompt tokens from which an engine
                counts as prefilling continuously; it prefills fewer in one
                step.
        """
        self._clock = clock
        self._chunk_tokens = chunk_tokens
        self._prefill_starts: dict[str, datetime.timedelta] = {}
        self._uses: dict[str, EndpointUse] = {}
        self._report_lifetime = PEER_REPORT_LIFETIME
        self.version = 0
        self._own_loads: dict[str, endpoint_load.EndpointLoad] = {}
        self._total_loads: dict[str, endpoint_load.EndpointLoad] = {}
        self._peer_reports: collections.OrderedDict[str, tuple[
            datetime.timedelta,
            dict[str, endpoint_load.EndpointLoad]]] = collections.OrderedDict()

    def add(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Adds load that this VM puts on an endpoint."""
        self.version += 1
        _add_load(self._own_loads, endpoint, load)
        self._add_total(endpoint, load)

    def subtract(self, endpoint: str, load: endpoint_load.EndpointLoad) -> None:
        """Removes load of this VM that has ended."""
        self.add(endpoint, _IDLE - load)

    def list_own_loads(self) -> dict[str, endpoint_load.EndpointLoad]:
        """Returns this VM's load by endpoint, to report it to peers."""
        return dict(self._own_loads)

    def set_report_interval(self, interval: datetime.timedelta) -> None:
        """Sets the interval of peers' reports, two of which may be lost."""
        self._report_lifetime = max(PEER_REPORT_LIFETIME,
                                    interval * _LIFETIME_INTERVALS)

    def set_peer_loads(self, peer: str,
                       loads: dict[str, endpoint_load.EndpointLoad]) -> None:
        """Replaces a peer's report of its load by endpoint."""
        _, known_loads = self._peer_reports.pop(peer, (None, {}))
        for endpoint in known_loads.keys() | loads.keys():
            self._add_total(
                endpoint,
                loads.get(endpoint, _IDLE) - known_loads.get(endpoint, _IDLE))
        self._peer_reports[peer] = (self._clock.monotonic(), loads)

    def confirm_peer_loads(self, peer: str) -> bool:
        """Renews a peer's last report, which is still valid.

        Returns:
            Whether there is such a report; False once it has expired.
        """
        self._drop_expired()
        known_loads = self._peer_reports.get(peer)
        if known_loads is None:
            return False
        self._peer_reports[peer] = (self._clock.monotonic(), known_loads[1])
        self._peer_reports.move_to_end(peer)
        return True

    def list_total_loads(
            self) -> collections.abc.Mapping[str, endpoint_load.EndpointLoad]:
        """Returns the load of this VM and its peers by endpoint.

        Idle endpoints are left out. The totals are updated with each change
        instead of summed here, because each placement reads the load of all
        endpoints and large deployments have many peers.
        """
        self._drop_expired()
        return self._total_loads

    def find_load(self, endpoint: str) -> endpoint_load.EndpointLoad:
        """Returns the load of an endpoint from this VM and its peers."""
        return self.list_total_loads().get(endpoint, _IDLE)

    def find_prefill_duration(self, endpoint: str) -> datetime.timedelta:
        """Returns how long an engine has been prefilling continuously."""
        started_at = self._prefill_starts.get(endpoint)
        if started_at is None:
            return datetime.timedelta()
        return self._clock.monotonic() - started_at

    def measure_use(self, endpoint: str) -> EndpointUse:
        """Returns how long an endpoint has been used so far."""
        return self._add_use(endpoint)

    def forget_endpoint(self, endpoint: str) -> None:
        """Discards the times of use of an endpoint that has been removed."""
        self._uses.pop(endpoint, None)

    def count_peers(self) -> int:
        """Returns the number of peers whose reports have not expired."""
        self._drop_expired()
        return len(self._peer_reports)

    def _drop_expired(self) -> None:
        oldest = self._clock.monotonic() - self._report_lifetime
        while self._peer_reports:
            peer, (received, _) = next(iter(self._peer_reports.items()))
            if received >= oldest:
                return
            self._drop_peer(peer)

    def _drop_peer(self, peer: str) -> None:
        _, loads = self._peer_reports.pop(peer, (None, {}))
        for endpoint, load in loads.items():
            self._add_total(endpoint, _IDLE - load)

    def _add_total(self, endpoint: str,
                   load: endpoint_load.EndpointLoad) -> None:
        self._add_use(endpoint)
        total = _add_load(self._total_loads, endpoint, load)
        if total.prefill_tokens < self._chunk_tokens:
            self._prefill_starts.pop(endpoint, None)
        elif endpoint not in self._prefill_starts:
            self._prefill_starts[endpoint] = self._clock.monotonic()

    def _add_use(self, endpoint: str) -> EndpointUse:
        """Adds the use of an endpoint since its load has changed last."""
        now = self._clock.monotonic()
        use = self._uses.get(endpoint)
        if use is None:
            use = EndpointUse(now)
        elapsed = now - use.measured_at
        if elapsed:
            weight = math.exp(-(elapsed / _PREFILL_SHARE_TIME_CONSTANT))
            if endpoint in self._prefill_starts:
                use = EndpointUse(now, use.prefill_time + elapsed,
                                  use.request_time,
                                  1.0 - weight * (1.0 - use.prefill_share))
            else:
                requests = self._total_loads.get(endpoint, _IDLE).requests
                use = EndpointUse(now, use.prefill_time,
                                  use.request_time + requests * elapsed,
                                  weight * use.prefill_share)
        self._uses[endpoint] = use
        return use


def _add_load(loads: dict[str, endpoint_load.EndpointLoad], endpoint: str,
              load: endpoint_load.EndpointLoad) -> endpoint_load.EndpointLoad:
    total = loads.get(endpoint, _IDLE) + load
    if total == _IDLE:
        loads.pop(endpoint, None)
    else:
        loads[endpoint] = total
    return total
