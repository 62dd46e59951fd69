"""Requests that may crash the endpoint that runs them."""

import collections.abc
import datetime

from mustardwood import messages
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import running_request

_MEMORY = datetime.timedelta(seconds=300)


class Suspects:
    """Knows the suspected fingerprints, and keeps them apart.

    A suspect runs only on an endpoint without another suspect, so that the
    next crash tells which request caused it; its repeats wait for its end.
    """

    def __init__(self) -> None:
        self._named: frozenset[str] = frozenset()
        self._asked: dict[str, datetime.timedelta] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()

    def set_named(self, fingerprints: collections.abc.Iterable[str]) -> None:
        """Sets the fingerprints that the agent names."""
        self._named = frozenset(fingerprints)

    def record(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Remembers a fingerprint that an entry marked as suspect."""
        if fingerprint:
            self._asked.pop(fingerprint, None)
            self._asked[fingerprint] = now
        for oldest in list(self._asked):
            if now - self._asked[oldest] <= _MEMORY:
                break
            del self._asked[oldest]

    def is_suspect(self, fingerprint: str, *, marked: bool) -> bool:
        """Returns whether a request is a suspect.

        Args:
            fingerprint: Hash of organisation and body.
            marked: Whether its entry marked it.
        """
        return (marked or fingerprint in self._named or
                fingerprint in self._asked)

    def start(self, request: running_request.RunningRequest) -> None:
        """Counts a fingerprint in flight."""
        if request.fingerprint:
            self._in_flight[request.fingerprint] += 1

    def end(self, request: running_request.RunningRequest) -> None:
        """Ends the count of a fingerprint in flight."""
        self._in_flight[request.fingerprint] -= 1
        if self._in_flight[request.fingerprint] <= 0:
            del self._in_flight[request.fingerprint]

    def may_start(self, ask: messages.Ask) -> bool:
        """Returns whether no repeat of a suspect is in flight."""
        if not self.is_suspect(ask.fingerprint, marked=ask.suspect):
            return True
        return not ask.fingerprint or not self._in_flight[ask.fingerprint]

    def may_join(self, ask: messages.Ask,
                 record: endpoint_record.EndpointRecord) -> bool:
        """Returns whether a request may run on an endpoint now."""
        if not self.is_suspect(ask.fingerprint, marked=ask.suspect):
            return True
        return not any(
            self.is_suspect(each.fingerprint, marked=each.suspect)
            for each in record.running.values())
