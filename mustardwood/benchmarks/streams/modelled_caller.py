"""A caller that measures what it gets."""

import collections.abc
import datetime

from mustardwood import dispatch
from mustardwood.benchmarks.streams import scheduler as scheduler_module
from mustardwood.benchmarks.streams import stream_kind

_MOST_REPEATS = 1
"""Repeats after a refusal, as users' callers make them."""
_SHARE_OF_REST = 1 / 3
"""Part of the time left for which callers wait before they come back."""

Start = collections.abc.Callable[[dispatch.Caller, datetime.timedelta], None]


class ModelledCaller:
    """Sends a request, comes back once if it is refused, and counts credit.

    Attributes:
        credit: Worth of what it got.
        is_late: Whether it got all of it, too late.
        is_complete: Whether it got all of it.
        worst_pause: Longest pause between pieces, in seconds.
    """

    def __init__(self, kind: stream_kind.StreamKind,
                 scheduler: scheduler_module.Scheduler, start: Start) -> None:
        """Creates a caller.

        Args:
            kind: What it asks for.
            scheduler: Tells the time and delays the repeat.
            start: Sends the request; gets the caller and the time to expiry.
        """
        self._kind = kind
        self._scheduler = scheduler
        self._start = start
        self._began = scheduler.monotonic()
        self._last: datetime.timedelta | None = None
        self._repeats = 0
        self.credit = 0.0
        self.is_late = False
        self.is_complete = False
        self.worst_pause = 0.0

    def send(self) -> None:
        """Sends the request."""
        self._start(self, self._find_rest())

    def begin(self, status: int, headers: dispatch.Headers,
              length: int | None) -> None:
        """See `dispatch.Caller`."""

    def write(self, data: bytes) -> None:
        """See `dispatch.Caller`."""
        del data
        now = self._scheduler.monotonic()
        if self._last is None:
            waited = (now - self._began).total_seconds()
            self.is_late = waited > self._kind.first_byte_target
        else:
            pause = (now - self._last).total_seconds()
            self.worst_pause = max(self.worst_pause, pause)
        self._last = now

    def finish(self) -> None:
        """See `dispatch.Caller`."""
        self.is_complete = True
        self.is_late = (self.is_late or
                        self.worst_pause > self._kind.inter_event_target)
        self.credit = (self._kind.late_worth
                       if self.is_late else self._kind.worth)

    def abort(self) -> None:
        """See `dispatch.Caller`."""

    def refuse(self, answer: dispatch.Refusal) -> None:
        """See `dispatch.Caller`."""
        if answer.retry_after is None or self._repeats >= _MOST_REPEATS:
            return
        self._repeats += 1
        wait = min(answer.retry_after, self._find_rest() * _SHARE_OF_REST)
        self._scheduler.call_later(wait, self.send)

    def _find_rest(self) -> datetime.timedelta:
        deadline = datetime.timedelta(seconds=self._kind.deadline)
        return deadline - (self._scheduler.monotonic() - self._began)
