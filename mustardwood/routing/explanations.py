"""History of recent requests, for the explain command."""

import collections

_MAX_REQUESTS = 2000
"""Maximum number of requests whose events are kept."""

_MAX_EVENTS_PER_REQUEST = 100
"""Maximum number of events kept for one request."""


class Explanations:
    """A bounded history of events by request id."""

    def __init__(self) -> None:
        self._events: collections.OrderedDict[str, list[tuple[
            str, str]]] = collections.OrderedDict()

    def add_event(self, request_id: str, time: str, text: str) -> None:
        """Adds an event of a request.

        Beyond the maximum number of requests, the oldest one is dropped; beyond
        the maximum number of events, the new event is.

        Args:
            request_id: Id of the request.
            time: Wall-clock time in ISO 8601 format.
            text: Description of the event.
        """
        events = self._events.setdefault(request_id, [])
        if len(events) < _MAX_EVENTS_PER_REQUEST:
            events.append((time, text))
        if len(self._events) > _MAX_REQUESTS:
            self._events.popitem(last=False)

    def find_events(self, request_id: str) -> list[dict[str, str]]:
        """Returns the events of a request, oldest first."""
        return [{
            "time": time,
            "part": "entry",
            "text": text
        } for time, text in self._events.get(request_id, [])]
