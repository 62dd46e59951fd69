"""Index of the engines that probably have a prompt prefix in their cache."""

import collections
import datetime

from mustardwood import timing
from mustardwood.dispatch import service_request

_CACHE_LIFETIME = datetime.timedelta(seconds=12)
"""Time after which a prefix counts as evicted; engines cache many prefixes."""
_REPORT_TIME = datetime.timedelta(seconds=1)
"""Time for which a move is reported to peers, in case datagrams are lost."""
_MAX_PREFIXES = 4096
"""Maximum number of prefixes kept: about ten times those of a deployment."""
_MAX_REPORTED_MOVES = 64
"""Maximum number of moves in one report: about a kilobyte."""

_Location = tuple[str, str]
"""Name of an endpoint and key of a prefix that it caches."""


class PrefixCacheIndex:
    """Records to which engines this VM and its peers sent a prompt prefix.

    Load pattern: during a burst, requests with the same prefix are sent to
    other engines than the prefix's preferred one. All VMs should send them to
    the same other engine, instead of having several prefill the prefix again.
    Each VM therefore reports such moves to its peers.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._prefill_times: collections.OrderedDict[str, dict[
            str, datetime.timedelta]] = collections.OrderedDict()
        self._moves: collections.OrderedDict[
            _Location, datetime.timedelta] = collections.OrderedDict()

    def record_request(self, endpoint: str,
                       request: service_request.ServiceRequest,
                       is_preferred: bool) -> None:
        """Records that an endpoint prefills a request's prompt.

        Args:
            endpoint: Name of the endpoint.
            request: The request.
            is_preferred: Whether it is the preferred engine of the prefix,
                where all VMs expect it to be cached.
        """
        prefix_key = request.prompt.prefix_key
        self.record_prefix(endpoint, prefix_key)
        if prefix_key and not is_preferred:
            self._moves[endpoint, prefix_key] = self._clock.monotonic()
            self._moves.move_to_end((endpoint, prefix_key))
            if len(self._moves) > _MAX_REPORTED_MOVES:
                self._moves.popitem(last=False)

    def record_prefix(self, endpoint: str, prefix_key: str) -> None:
        """Records that an endpoint has prefilled a prefix."""
        if not prefix_key:
            return
        self._prefill_times.setdefault(prefix_key,
                                       {})[endpoint] = self._clock.monotonic()
        self._prefill_times.move_to_end(prefix_key)
        if len(self._prefill_times) > _MAX_PREFIXES:
            self._prefill_times.popitem(last=False)

    def list_moves(self) -> list[_Location]:
        """Returns the prefixes that this VM recently sent to other engines.

        Only engines that are not the prefix's preferred one are listed.
        """
        oldest = self._clock.monotonic() - _REPORT_TIME
        return [
            location for location, time in self._moves.items() if time >= oldest
        ]

    def list_holders(self, request: service_request.ServiceRequest) -> set[str]:
        """Returns the endpoints that probably cache a request's prefix."""
        prefill_times = self._prefill_times.get(request.prompt.prefix_key)
        if not prefill_times:
            return set()
        oldest = self._clock.monotonic() - _CACHE_LIFETIME
        return {name for name, time in prefill_times.items() if time > oldest}

    def forget_endpoint(self, endpoint: str) -> None:
        """Removes an endpoint that has restarted and lost its cache."""
        for prefill_times in self._prefill_times.values():
            prefill_times.pop(endpoint, None)
        for location in [each for each in self._moves if each[0] == endpoint]:
            del self._moves[location]
