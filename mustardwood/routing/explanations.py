"""Why each recent request went the way it did."""

import collections

_MAX_REQUESTS = 2000
"""Number of requests whose events are kept."""

_MAX_EVENTS_PER_REQUEST = 100
"""Number of events kept for one request."""


class Explanations:
    """A bounded record of events by request id."""

    def __init__(self) -> None:
        self._events: collections.OrderedDict[str, list[tuple[
            str, str]]] = collections.OrderedDict()

    def add_event(self, request_id: str, time: str, text: str) -> None:
        """Adds an event; the oldest request is dropped beyond the bound."""
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
