"""Which endpoints are believed to hold a prompt's shared parts."""

import collections
import datetime

from mustardwood import timing
from mustardwood.dispatch import general_request

_LIFETIME = datetime.timedelta(seconds=12)
"""Age from which a part is taken as evicted: engines hold many subjects."""
_NEWS_TIME = datetime.timedelta(seconds=1)
"""Time for which a move is told to peers; it makes up for lost datagrams."""
_MOST_ENTRIES = 4096
"""Bound on memory; about ten times the subjects of a deployment."""
_MOST_MOVES = 64
"""Bound on the moves that are told at once: about a kilobyte."""

_Place = tuple[str, str]
"""An endpoint and a subject."""


class PrefixMemory:
    """Remembers where a subject's requests were sent, here and by peers.

    Load pattern: in a rush, a subject's requests leave its home. Those of all
    VMs should meet at one other engine rather than be read anew at several.
    """

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._seen: collections.OrderedDict[
            _Place, datetime.timedelta] = collections.OrderedDict()
        self._moves: collections.OrderedDict[
            _Place, datetime.timedelta] = collections.OrderedDict()

    def record(self, endpoint: str, request: general_request.GeneralRequest,
               is_home: bool) -> None:
        """Records that an endpoint reads a request's prompt.

        Args:
            endpoint: Name of the endpoint.
            request: The request.
            is_home: Whether all VMs expect the subject there.
        """
        subject = request.prompt.subject
        self.record_subject(endpoint, subject)
        if subject and not is_home:
            _keep(self._moves, (endpoint, subject), self._clock.monotonic(),
                  _MOST_MOVES)

    def record_subject(self, endpoint: str, subject: str) -> None:
        """Records that an endpoint has read a subject's parts."""
        _keep(self._seen, (endpoint, subject), self._clock.monotonic(),
              _MOST_ENTRIES)

    def list_moves(self) -> list[_Place]:
        """Returns the subjects that this VM lately sent away from home."""
        oldest = self._clock.monotonic() - _NEWS_TIME
        return [place for place, time in self._moves.items() if time >= oldest]

    def holds(self, endpoint: str,
              request: general_request.GeneralRequest) -> bool:
        """Returns whether an endpoint likely holds the shared parts."""
        seen = self._seen.get((endpoint, request.prompt.subject))
        return seen is not None and self._clock.monotonic() - seen < _LIFETIME

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that started anew."""
        for known in (self._seen, self._moves):
            for place in [each for each in known if each[0] == endpoint]:
                del known[place]


def _keep(known: "collections.OrderedDict[_Place, datetime.timedelta]",
          place: _Place, time: datetime.timedelta, most: int) -> None:
    known[place] = time
    known.move_to_end(place)
    if len(known) > most:
        known.popitem(last=False)
