"""Writes structured log lines to standard output."""

import collections
import datetime
import os
import sys
import typing

import msgspec

from mustardwood import timing

_MAX_LINES_PER_SECOND = 200
"""Maximum number of lines per second; further lines are counted and dropped.

It is twenty times the usual rate of a VM, and costs about a tenth of a core.
"""
_MAX_PENDING_BYTES = 256 * 1024
"""Maximum size of the output buffer; lines that don't fit are dropped.

The buffer fills when the reader of the log is slow.
"""
_SECOND = datetime.timedelta(seconds=1)


class EventJournal:
    """Writes JSON lines without blocking on a slow reader.

    Attributes:
        dropped: Number of lines dropped since the last line that was written.
    """

    def __init__(self,
                 clock: timing.Clock,
                 vm: str,
                 descriptor: int | None = None) -> None:
        self._clock = clock
        self._vm = vm
        self._descriptor = (sys.stdout.fileno()
                            if descriptor is None else descriptor)
        os.set_blocking(self._descriptor, False)
        self._encoder = msgspec.json.Encoder()
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._window_start = clock.monotonic()
        self._lines_in_window = 0
        self.dropped = 0

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes a log line, or drops and counts it when over a limit.

        Args:
            event: Name of the event.
            **fields: Further keys and values of the line.
        """
        now = self._clock.monotonic()
        if now - self._window_start >= _SECOND:
            self._window_start, self._lines_in_window = now, 0
        self._lines_in_window += 1
        if self._lines_in_window > _MAX_LINES_PER_SECOND:
            self.dropped += 1
            return
        if self.dropped:
            fields["dropped_lines"] = self.dropped
            self.dropped = 0
        line = self._encoder.encode({
            "time": self._clock.now(),
            "vm": self._vm,
            "event": event,
            **fields
        }) + b"\n"
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._flush()

    def log_twisted_error(self, event: dict[str, typing.Any]) -> None:
        """Logs an error that Twisted's event loop caught, with its traceback.

        This is an observer for Twisted's log; other events are ignored.

        Args:
            event: Twisted's log event.
        """
        # Errors in protocols come through Twisted's older interface.
        found = event.get("log_failure") or event.get("failure")
        if found is not None:
            self.write("error",
                       part="event_loop",
                       error=found.getErrorMessage(),
                       traceback=found.getTraceback())

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The log has no reader any more; the process keeps running.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
