"""Structured log lines on standard output."""

import collections
import datetime
import os
import sys
import typing

import msgspec

from mustardwood import timing

_LINES_A_SECOND = 200
"""Lines that a process writes in a second; more are counted, not written.

It is twenty times the usual load of a VM, and about a tenth of a core.
"""
_MOST_PENDING = 256 * 1024
"""Bytes kept for a reader that is behind; later lines are dropped."""
_SECOND = datetime.timedelta(seconds=1)


class EventJournal:
    """Writes JSON lines without ever waiting for their reader."""

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
        self._second = clock.monotonic()
        self._lines = 0
        self.dropped = 0

    def write(self, event: str, **fields: typing.Any) -> None:
        """Writes a line, or counts it as dropped."""
        now = self._clock.monotonic()
        if now - self._second >= _SECOND:
            self._second, self._lines = now, 0
        self._lines += 1
        if self._lines > _LINES_A_SECOND:
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
        if self._pending_bytes + len(line) > _MOST_PENDING:
            self.dropped += 1
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self._flush()

    def observe_twisted(self, event: dict[str, typing.Any]) -> None:
        """Writes the errors that the event loop caught, with tracebacks."""
        found = event.get("log_failure")
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
                # Nobody reads the log any more; the process serves on.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
