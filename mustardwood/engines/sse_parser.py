"""The parsing of server-sent events."""

MAX_EVENT_BYTES = 1024 * 1024
"""Largest event, in bytes."""

_FIELD = b"data:"


class EventTooLongError(ValueError):
    """An event is over `MAX_EVENT_BYTES`."""


class SseParser:
    """Splits a stream into the data of its events, as it comes.

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
        self._rest: list[bytes] = []
        self._rest_size = 0
        self._data: list[bytes] = []

    def feed(self, chunk: bytes) -> list[bytes]:
        """Takes a part of the stream.

        Returns:
            The data of the events that it completes.

        Raises:
            EventTooLongError: The event that is open is too long.
        """
        end = chunk.rfind(b"\n")
        if end < 0:
            self._keep(chunk)
            return []
        complete = chunk[:end]
        if self._rest:
            complete = b"".join(self._rest) + complete
            self._rest.clear()
            self._rest_size = 0
        events: list[bytes] = []
        for line in complete.split(b"\n"):
            self._take_line(line, events)
        if end + 1 < len(chunk):
            self._keep(chunk[end + 1:])
        return events

    def _keep(self, part: bytes) -> None:
        self._rest.append(part)
        self._rest_size += len(part)
        self._check_size(self._rest_size)

    def _take_line(self, line: bytes, events: list[bytes]) -> None:
        if line.endswith(b"\r"):
            line = line[:-1]
        if not line:
            if self._data:
                events.append(b"\n".join(self._data))
                self._data.clear()
        elif line.startswith(_FIELD):
            value = line[len(_FIELD):]
            self._data.append(value[1:] if value[:1] == b" " else value)
            self._check_size(sum(map(len, self._data)))

    def _check_size(self, size: int) -> None:
        if size > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is over {MAX_EVENT_BYTES} bytes")
