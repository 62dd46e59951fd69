"""Which endpoints are believed to hold a prompt's shared parts."""

import collections
import datetime

from mustardwood import timing
from mustardwood.dispatch import general_request

_LIFETIME = datetime.timedelta(seconds=12)
"""Age from which a part is taken as evicted: engines hold many subjects."""
_MOST_ENTRIES = 4096
"""Bound on memory; about ten times the subjects of a deployment."""


class PrefixMemory:
    """Remembers where this VM sent a subject's requests."""

    def __init__(self, clock: timing.Clock) -> None:
        self._clock = clock
        self._seen: collections.OrderedDict[tuple[
            str, str], datetime.timedelta] = collections.OrderedDict()

    def record(self, endpoint: str,
               request: general_request.GeneralRequest) -> None:
        """Records that an endpoint has read a request's prompt."""
        key = (endpoint, request.prompt.subject)
        self._seen[key] = self._clock.monotonic()
        self._seen.move_to_end(key)
        if len(self._seen) > _MOST_ENTRIES:
            self._seen.popitem(last=False)

    def holds(self, endpoint: str,
              request: general_request.GeneralRequest) -> bool:
        """Returns whether an endpoint likely holds the shared parts."""
        seen = self._seen.get((endpoint, request.prompt.subject))
        return seen is not None and self._clock.monotonic() - seen < _LIFETIME

    def forget(self, endpoint: str) -> None:
        """Forgets an endpoint that started anew."""
        for key in [each for each in self._seen if each[0] == endpoint]:
            del self._seen[key]
