"""Requests suspected of crashing the endpoint that runs them."""

import collections.abc
import datetime

from mustardwood import messages
from mustardwood.scheduling import endpoint_record
from mustardwood.scheduling import running_request

_RETENTION = datetime.timedelta(seconds=300)


class SuspectRequests:
    """Tracks suspected requests and isolates them from each other.

    A request that was in flight when an endpoint crashed is suspected; it is
    identified by its fingerprint. A suspect runs only on an endpoint without
    another suspect, so that the next crash identifies the request that caused
    it. Further requests with the same fingerprint wait for its end.
    """

    def __init__(self) -> None:
        self._agent_fingerprints: frozenset[str] = frozenset()
        self._entry_fingerprints: dict[str, datetime.timedelta] = {}
        self._running_counts: collections.Counter[str] = collections.Counter()

    def set_agent_fingerprints(
            self, fingerprints: collections.abc.Iterable[str]) -> None:
        """Sets the suspected fingerprints that the agent distributes."""
        self._agent_fingerprints = frozenset(fingerprints)

    def mark_suspect(self, fingerprint: str, now: datetime.timedelta) -> None:
        """Records a fingerprint that an entry marked as suspect, for 300 s."""
        if fingerprint:
            self._entry_fingerprints.pop(fingerprint, None)
            self._entry_fingerprints[fingerprint] = now
        for oldest in list(self._entry_fingerprints):
            if now - self._entry_fingerprints[oldest] <= _RETENTION:
                break
            del self._entry_fingerprints[oldest]

    def is_suspect(self, fingerprint: str, *, marked_by_entry: bool) -> bool:
        """Returns whether a request is suspected.

        Args:
            fingerprint: Hash of organisation and body.
            marked_by_entry: Whether its entry marked it as suspect.
        """
        return (marked_by_entry or fingerprint in self._agent_fingerprints or
                fingerprint in self._entry_fingerprints)

    def add_running(self, request: running_request.RunningRequest) -> None:
        """Counts a running request by its fingerprint."""
        if request.fingerprint:
            self._running_counts[request.fingerprint] += 1

    def remove_running(self, request: running_request.RunningRequest) -> None:
        """Removes a running request from the count of its fingerprint."""
        self._running_counts[request.fingerprint] -= 1
        if self._running_counts[request.fingerprint] <= 0:
            del self._running_counts[request.fingerprint]

    def may_start(self, ask: messages.Ask) -> bool:
        """Returns whether no suspect with the same fingerprint is running."""
        if not self.is_suspect(ask.fingerprint, marked_by_entry=ask.suspect):
            return True
        return not ask.fingerprint or not self._running_counts[ask.fingerprint]

    def may_share_endpoint(self, ask: messages.Ask,
                           record: endpoint_record.EndpointRecord) -> bool:
        """Returns whether a request may run beside those on an endpoint."""
        if not self.is_suspect(ask.fingerprint, marked_by_entry=ask.suspect):
            return True
        return not any(
            self.is_suspect(each.fingerprint, marked_by_entry=each.suspect)
            for each in record.running.values())
