"""Why each recent request went the way it did."""

import collections

_REQUEST_LIMIT = 2000
"""Number of requests whose events are kept."""

_EVENT_LIMIT = 100
"""Number of events kept for one request."""


class Explanations:
    """A bounded record of events by request id."""

    def __init__(self) -> None:
        self._events: collections.OrderedDict[str, list[tuple[
            str, str]]] = collections.OrderedDict()

    def add(self, request_id: str, time: str, text: str) -> None:
        """Adds an event; the oldest request is dropped beyond the bound."""
        events = self._events.setdefault(request_id, [])
        if len(events) < _EVENT_LIMIT:
            events.append((time, text))
        if len(self._events) > _REQUEST_LIMIT:
            self._events.popitem(last=False)

    def find(self, request_id: str) -> list[dict[str, str]]:
        """Returns the events of a request, oldest first."""
        return [{
            "time": time,
            "part": "entry",
            "text": text
        } for time, text in self._events.get(request_id, [])]
