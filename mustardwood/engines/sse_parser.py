"""Incremental parser for server-sent events."""

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of one event."""

_DATA_FIELD = b"data:"


class EventTooLongError(ValueError):
    """An event is larger than `MAX_EVENT_BYTES`."""


class SseParser:
    """Extracts the data of each event from a stream that arrives in chunks.

    Examples:
        >>> parser = SseParser()
        >>> parser.feed(b"data: a")
        []
        >>> parser.feed(b"b" + bytes([10, 10]))
        [b'ab']

    References:
        WHATWG, "HTML Living Standard", section 9.2, Server-sent events.
    """

    def __init__(self) -> None:
        self._partial_line: list[bytes] = []
        self._partial_line_size = 0
        self._data_lines: list[bytes] = []

    def feed(self, chunk: bytes) -> list[bytes]:
        """Parses the next chunk of the stream.

        Returns:
            The data of the events that this chunk completes.

        Raises:
            EventTooLongError: The current event is too long.
        """
        end = chunk.rfind(b"\n")
        if end < 0:
            self._append_partial_line(chunk)
            return []
        complete_lines = chunk[:end]
        if self._partial_line:
            complete_lines = b"".join(self._partial_line) + complete_lines
            self._partial_line.clear()
            self._partial_line_size = 0
        events: list[bytes] = []
        for line in complete_lines.split(b"\n"):
            self._parse_line(line, events)
        if end + 1 < len(chunk):
            self._append_partial_line(chunk[end + 1:])
        return events

    def _append_partial_line(self, part: bytes) -> None:
        self._partial_line.append(part)
        self._partial_line_size += len(part)
        self._check_size(self._partial_line_size)

    def _parse_line(self, line: bytes, events: list[bytes]) -> None:
        if line.endswith(b"\r"):
            line = line[:-1]
        if not line:
            if self._data_lines:
                events.append(b"\n".join(self._data_lines))
                self._data_lines.clear()
        elif line.startswith(_DATA_FIELD):
            value = line[len(_DATA_FIELD):]
            self._data_lines.append(value[1:] if value[:1] == b" " else value)
            self._check_size(sum(map(len, self._data_lines)))

    def _check_size(self, size: int) -> None:
        if size > MAX_EVENT_BYTES:
            raise EventTooLongError(
                f"an event is larger than {MAX_EVENT_BYTES} bytes")
