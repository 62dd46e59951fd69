"""Splitting of a stream into complete server-sent events."""

import re

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_END_BYTES = 4
"""Length of the longest end of an event, in bytes."""
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
"""Beginning of a line that is neither empty nor a comment."""
_ID = re.compile(rb"^id:[ ]?(\d{1,18})\s*$", re.MULTILINE)


class EventSplitter:
    """Splits a stream of server-sent events into complete events.

    Callers receive complete events only, so that another endpoint can continue
    a stream that broke off in the middle of an event.

    Attributes:
        last_id: Id of the last complete event that had one; None before that.

    Examples:
        >>> splitter = EventSplitter(None)
        >>> splitter.add(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
        b'id: 1\\ndata: a\\n\\n'
        >>> splitter.last_id, splitter.rest
        (1, b'id: 2\\nda')
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self._pending = bytearray()

    @property
    def rest(self) -> bytes:
        """The bytes received after the last complete event."""
        return bytes(self._pending)

    @property
    def rest_size(self) -> int:
        """Number of bytes received after the last complete event."""
        return len(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Whether an event has begun and is not complete.

        Examples:
            >>> splitter = EventSplitter(None)
            >>> splitter.add(b"data: a\\n\\n: comment")
            b'data: a\\n\\n'
            >>> splitter.is_inside_event
            False
            >>> splitter.add(b"\\ndata")
            b''
            >>> splitter.is_inside_event
            True
        """
        return _FIELD.search(self._pending) is not None

    def add(self, data: bytes) -> bytes:
        """Adds received bytes and returns the events that are now complete.

        Events with an id that is not greater than `last_id` were sent to the
        caller before and are left out.
        """
        # What was pending contains no end, but an end may begin in it.
        searched = max(0, len(self._pending) - _MAX_END_BYTES + 1)
        self._pending += data
        received = bytes(self._pending) if _END.search(self._pending,
                                                       searched) else b""
        kept = bytearray()
        start = 0
        for match in _END.finditer(received, searched):
            event = received[start:match.end()]
            start = match.end()
            if self._is_new(event):
                kept += event
        del self._pending[:start]
        return bytes(kept)

    def drop_rest(self) -> None:
        """Discards an incomplete event before another endpoint continues."""
        self._pending.clear()

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
