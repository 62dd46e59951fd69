"""Turns in which connections decode the chunks that they have received."""

import collections
import collections.abc
import datetime

from mustardwood import dispatch

_CHUNKS_PER_TURN = 4096
"""Number of chunks after which the event loop handles other events.

They take a few milliseconds.
"""
_MAX_WAITING = 16
"""Number of connections that may wait for a turn."""


class ChunkTurns:
    """Shares the event loop between small chunks and everything else.

    Load pattern: many callers send bodies in very small chunks. Decoding all
    that was received before the next event would delay all other requests by
    the number of these callers. The connections take turns instead, and none
    is read while it waits for its turn. If many wait, further ones are refused:
    they would wait for seconds, and what their callers' systems have buffered
    arrives also after these have left.
    """

    def __init__(self, scheduler: dispatch.Scheduler) -> None:
        """Creates turns that nobody waits for.

        Args:
            scheduler: Schedules the next turn.
        """
        self._scheduler = scheduler
        self._chunks = 0
        self._is_scheduled = False
        self._waiting: collections.deque[collections.abc.Callable[
            [], None]] = collections.deque()

    @property
    def may_decode(self) -> bool:
        """Whether a connection may decode in this turn."""
        return self._chunks < _CHUNKS_PER_TURN

    def wait(self, decode: collections.abc.Callable[[], None]) -> bool:
        """Waits for a turn, unless too many connections wait.

        Args:
            decode: Called in a later turn.

        Returns:
            Whether the connection waits.
        """
        if len(self._waiting) >= _MAX_WAITING:
            return False
        self._waiting.append(decode)
        return True

    def record(self, chunks: int) -> None:
        """Counts chunks that were decoded."""
        self._chunks += chunks
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._scheduler.call_later(datetime.timedelta(), self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._chunks = 0
        try:
            while self._waiting and self.may_decode:
                self._waiting.popleft()()
        finally:
            if self._waiting:
                self._schedule()
