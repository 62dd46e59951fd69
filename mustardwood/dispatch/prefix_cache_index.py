"""Which endpoints are believed to hold a prompt's shared parts."""

import collections
import datetime

from mustardwood import timing
from mustardwood.dispatch import service_request

_LIFETIME = datetime.timedelta(seconds=12)
"""Age from which a part is taken as evicted: engines hold many subjects."""
_NEWS_TIME = datetime.timedelta(seconds=1)
"""Time for which a move is told to peers; it makes up for lost datagrams."""
_MOST_SUBJECTS = 4096
"""Bound on memory; about ten times the subjects of a deployment."""
_MOST_MOVES = 64
"""Bound on the moves that are told at once: about a kilobyte."""

_Place = tuple[str, str]
"""An endpoint and a subject."""


class PrefixCacheIndex:
    """Remembers where a subject's requests were sent, here and by peers.

    Load pattern: in a rush, a subject's requests leave its home. Those of all
    VMs should meet at one other engine rather than be read anew at several.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._seen: collections.OrderedDict[str, dict[
            str, datetime.timedelta]] = collections.OrderedDict()
        self._moves: collections.OrderedDict[
            _Place, datetime.timedelta] = collections.OrderedDict()

    def record_request(self, endpoint: str,
                       request: service_request.ServiceRequest,
                       is_preferred: bool) -> None:
        """Records that an endpoint reads a request's prompt.

        Args:
            endpoint: Name of the endpoint.
            request: The request.
            is_home: Whether all VMs expect the subject there.
        """
        prefix_key = request.prompt.prefix_key
        self.record_prefix(endpoint, prefix_key)
        if prefix_key and not is_preferred:
            self._moves[endpoint, prefix_key] = self._clock.monotonic()
            self._moves.move_to_end((endpoint, prefix_key))
            if len(self._moves) > _MOST_MOVES:
                self._moves.popitem(last=False)

    def record_prefix(self, endpoint: str, prefix_key: str) -> None:
        """Records that an endpoint has read a subject's parts."""
        if not prefix_key:
            return
        self._seen.setdefault(prefix_key,
                              {})[endpoint] = self._clock.monotonic()
        self._seen.move_to_end(prefix_key)
        if len(self._seen) > _MOST_SUBJECTS:
            self._seen.popitem(last=False)

    def list_moves(self) -> list[_Place]:
        """Returns the subjects that this VM lately sent away from home."""
        oldest = self._clock.monotonic() - _NEWS_TIME
        return [place for place, time in self._moves.items() if time >= oldest]

    def list_holders(self, request: service_request.ServiceRequest) -> set[str]:
        """Returns the endpoints that likely hold the shared parts."""
        seen = self._seen.get(request.prompt.prefix_key)
        if not seen:
            return set()
        oldest = self._clock.monotonic() - _LIFETIME
        return {name for name, time in seen.items() if time > oldest}

    def forget_endpoint(self, endpoint: str) -> None:
        """Forgets an endpoint that started anew."""
        for seen in self._seen.values():
            seen.pop(endpoint, None)
        for place in [each for each in self._moves if each[0] == endpoint]:
            del self._moves[place]
