"""Decoder for the chunked transfer coding."""

import re

_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:[ \t]*;[^\r\n]*)?[ \t]*\r\n")
_LINE_END = b"\r\n"


class ChunkError(ValueError):
    """A body violates the chunked transfer coding."""


class LineTooLongError(ChunkError):
    """The line before a chunk, or all trailers, exceed the maximum size."""


class ChunkDecoder:
    """Decodes a chunked body as its bytes arrive [1]_.

    Load pattern: bodies in chunks of few bytes. An event for each chunk would
    take some ten times as long as decoding it.

    Attributes:
        is_complete: Whether the last chunk and the trailers were received.
        rest: Received bytes that are not decoded yet; those that follow the
            body if it is complete.

    References:
        .. [1] R. Fielding, M. Nottingham and J. Reschke, "HTTP/1.1", RFC 9112,
           section 7.1, 2022.
    """

    def __init__(self, max_line_bytes: int) -> None:
        """Creates a decoder.

        Args:
            max_line_bytes: Maximum size of the line before a chunk, and of all
                trailers.
        """
        self._max_line_bytes = max_line_bytes
        self._missing_bytes = 0
        self._is_after_data = False
        self._has_last_chunk = False
        self._trailer_bytes = 0
        self.is_complete = False
        self.rest = b""

    def decode(self, data: bytes) -> tuple[bytes, int]:
        """Decodes received bytes.

        Args:
            data: The bytes that follow those of the last call.

        Returns:
            The decoded part of the body, and the number of chunks that begin in
            it.

        Raises:
            ChunkError: The bytes violate the coding.
            LineTooLongError: A line or the trailers exceed the maximum size.
        """
        data = self.rest + data
        parts: list[bytes] = []
        position, chunks = 0, 0
        while position < len(data):
            if self._missing_bytes:
                part = data[position:position + self._missing_bytes]
                parts.append(part)
                position += len(part)
                self._missing_bytes -= len(part)
                self._is_after_data = not self._missing_bytes
            elif self._is_after_data:
                line_end = data[position:position + 2]
                if not _LINE_END.startswith(line_end):
                    raise ChunkError("a chunk is longer than its size")
                if len(line_end) < 2:
                    break
                position += 2
                self._is_after_data = False
            elif self._has_last_chunk:
                end_of_line = self._find_trailer_end(data, position)
                if not end_of_line:
                    break
                position = end_of_line
                if self.is_complete:
                    break
            else:
                line = _SIZE_LINE.match(data, position)
                if line is None:
                    self._check_size_line(data, position)
                    break
                begin, size = line.end(), int(line.group(1), 16)
                end = begin + size
                chunks += 1
                if size and data[end:end + 2] == _LINE_END:
                    parts.append(data[begin:end])
                    position = end + 2
                    continue
                position = begin
                self._missing_bytes = size
                self._has_last_chunk = not size
        self.rest = data[position:]
        return b"".join(parts), chunks

    def _check_size_line(self, data: bytes, position: int) -> None:
        """Checks a line with a chunk's size that is not complete."""
        if b"\n" in data[position:]:
            raise ChunkError("the size of a chunk can't be read")
        if len(data) - position > self._max_line_bytes:
            raise LineTooLongError(
                "the line with the size of a chunk is too long")

    def _find_trailer_end(self, data: bytes, position: int) -> int:
        """Returns the end of a line of the trailers; 0 if it is not complete.
        """
        end = data.find(b"\n", position) + 1
        size = (end or len(data)) - position
        if self._trailer_bytes + size > self._max_line_bytes:
            raise LineTooLongError("the trailers are too long")
        if end:
            self._trailer_bytes += size
            self.is_complete = data[position:end] in (b"\r\n", b"\n")
        return end
