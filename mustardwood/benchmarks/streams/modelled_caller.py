"""Model of a caller that measures its response."""

import collections.abc
import datetime
import re

from mustardwood import dispatch
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_kind

_MAX_RETRIES = 1
"""Maximum number of retries after a refusal, as users' callers do it."""
_MAX_RESUMPTIONS = 3
"""Maximum number of times that a caller resumes a broken stream."""
_RESUMPTION_DELAY = datetime.timedelta(milliseconds=10)
"""Time in which a caller connects to another VM after a broken response."""
_EVENT = re.compile(rb"id: (\d+)\ndata: (.*)\n\n")
_MAX_WAIT_FRACTION = 1 / 3
"""Maximum delay before a retry, as a fraction of the time to the deadline."""

SendRequest = collections.abc.Callable[["ModelledCaller", datetime.timedelta],
                                       None]


class ModelledCaller:
    """Sends a request, retries it once if refused, and computes its credit.

    A stream that broke off is resumed if its kind allows it.

    Attributes:
        request_id: Id of the last request that it sent.
        first_request_id: Id of the request that brought the first event; empty
            before that.
        last_event_id: Id of the last event; None before the first.
        versions: Software versions of the engines that wrote its events.
        resumptions: Number of times that it resumed its stream.
        continuations: Number of them that brought an event.
        first_events: Monotonic times of the first events that its requests
            brought, by request id.
        credit: Credit that the response earned; 0 if it is incomplete.
        is_late: Whether the first event or a later one missed its target.
        is_complete: Whether the complete response was received.
        longest_pause: Longest pause between two events, in seconds.
    """

    def __init__(self, kind: stream_kind.StreamKind,
                 scheduler: scheduler_module.Scheduler,
                 send_request: SendRequest) -> None:
        """Creates a caller.

        Args:
            kind: Kind of its request.
            scheduler: Clock and timers.
            send_request: Sends the request; called with the caller and the
                time to its deadline.
        """
        self._kind = kind
        self._scheduler = scheduler
        self._send_request = send_request
        self._started_at = scheduler.monotonic()
        self._last_event_at: datetime.timedelta | None = None
        self._retries = 0
        self._is_resuming = False
        self.request_id = ""
        self.first_request_id = ""
        self.last_event_id: int | None = None
        self.versions: set[bytes] = set()
        self.resumptions = 0
        self.continuations = 0
        self.first_events: dict[str, datetime.timedelta] = {}
        self.credit = 0.0
        self.is_late = False
        self.is_complete = False
        self.longest_pause = 0.0

    def send(self) -> None:
        """Sends the request with the time that is left to its deadline."""
        self._send_request(self, self._compute_time_left())

    def begin(self, status: int, headers: dispatch.Headers,
              length: int | None) -> None:
        """See `dispatch.Caller`."""

    def write(self, data: bytes) -> None:
        """See `dispatch.Caller`."""
        now = self._scheduler.monotonic()
        for number, version in _EVENT.findall(data):
            self.last_event_id = int(number)
            self.versions.add(version)
        self.first_request_id = self.first_request_id or self.request_id
        self.first_events.setdefault(self.request_id, now)
        self.continuations += self._is_resuming
        self._is_resuming = False
        if self._last_event_at is None:
            waited = (now - self._started_at).total_seconds()
            self.is_late = waited > self._kind.first_byte_target
        else:
            pause = (now - self._last_event_at).total_seconds()
            self.longest_pause = max(self.longest_pause, pause)
        self._last_event_at = now

    def finish(self) -> None:
        """See `dispatch.Caller`."""
        self.is_complete = True
        self.is_late = (self.is_late or
                        self.longest_pause > self._kind.inter_event_target)
        self.credit = (self._kind.late_credit
                       if self.is_late else self._kind.on_time_credit)

    def abort(self) -> None:
        """See `dispatch.Caller`."""
        if (not self._kind.is_resumable or self.last_event_id is None or
                self.resumptions >= _MAX_RESUMPTIONS or
                self._compute_time_left() <= _RESUMPTION_DELAY):
            return
        self.resumptions += 1
        self._is_resuming = True
        self._scheduler.call_later(_RESUMPTION_DELAY, self.send)

    def refuse(self, response: dispatch.Refusal) -> None:
        """See `dispatch.Caller`."""
        if response.retry_after is None or self._retries >= _MAX_RETRIES:
            return
        self._retries += 1
        wait = min(response.retry_after,
                   self._compute_time_left() * _MAX_WAIT_FRACTION)
        self._scheduler.call_later(wait, self.send)

    def _compute_time_left(self) -> datetime.timedelta:
        deadline = datetime.timedelta(seconds=self._kind.deadline)
        return deadline - (self._scheduler.monotonic() - self._started_at)
