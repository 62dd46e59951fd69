"""Log of the decisions about recent requests, for operators."""

import collections
import datetime

import msgspec

_MAX_REQUESTS = 2000
_MAX_EVENTS_PER_REQUEST = 20


class ExplanationEvent(msgspec.Struct, frozen=True):
    """One decision about a request.

    Attributes:
        at: Monotonic time of the decision.
        text: The decision, as one sentence.
    """

    at: datetime.timedelta
    text: str


class ExplanationLog:
    """Keeps the latest decisions about the most recent requests."""

    def __init__(self) -> None:
        self._events: collections.OrderedDict[
            str,
            collections.deque[ExplanationEvent]] = collections.OrderedDict()

    def record(self, request_id: str, now: datetime.timedelta,
               text: str) -> None:
        """Adds a decision about a request."""
        events = self._events.get(request_id)
        if events is None:
            events = collections.deque(maxlen=_MAX_EVENTS_PER_REQUEST)
            self._events[request_id] = events
            if len(self._events) > _MAX_REQUESTS:
                self._events.popitem(last=False)
        events.append(ExplanationEvent(now, text))

    def find(self, request_id: str) -> tuple[ExplanationEvent, ...]:
        """Returns the decisions about a request, oldest first."""
        return tuple(self._events.get(request_id, ()))
