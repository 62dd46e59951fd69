"""Bounds on the bytes that an endpoint sends in one exchange."""

_MAX_FRAMING_BYTES = 192 * 1024
"""Bytes beyond twice the size of the bodies that an exchange may receive.

Heads, informational responses and the framing of chunks count. It has room for
three heads of the maximum size.
"""
_MAX_SMALL_PARTS = 2048
"""Parts of bodies that may have less than `_SMALL_PART_BYTES` on average.

Each takes about 25 microseconds to parse, however small it is.
"""
_SMALL_PART_BYTES = 5
"""Size from which a chunk is larger than its framing."""
_MAX_INFORMATIONAL_RESPONSES = 16
"""Informational responses of an exchange; ordinary servers send one or two."""
_MAX_DISCARDED_RESPONSES = 8
"""Responses to other requests that an exchange passes over.

A connection is closed as soon as data arrives between two exchanges, so that
seldom more than one is left.
"""
_MAX_DISCARDED_BYTES = 1024 * 1024
"""Bytes of the bodies of responses to other requests."""


class ReceivedBytes:
    """Counts what is received in one exchange and finds what has no end.

    The time of a request is too late a bound: until then, an endpoint that
    sends at full speed would take up the VM.
    """

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._received_bytes = 0
        self._body_bytes = 0
        self._discarded_bytes = 0
        self._parts = 0
        self._discarded_responses = 0
        self._informational_responses = 0

    def add_received(self, count: int) -> None:
        """Counts bytes as they are received, with all framing."""
        self._received_bytes += count

    def add_body(self, count: int) -> None:
        """Counts a part of the response's body, of some bytes."""
        self._parts += 1
        self._body_bytes += count

    def add_discarded(self, count: int) -> None:
        """Counts a part of the body of a response to another request."""
        self._parts += 1
        self._discarded_bytes += count

    def add_discarded_response(self) -> None:
        """Counts a response to another request."""
        self._discarded_responses += 1

    def add_informational_response(self) -> None:
        """Counts an informational response (1xx)."""
        self._informational_responses += 1

    def find_excess(self) -> str:
        """Returns which bound is exceeded, for the log; empty if none is."""
        if self._body_bytes > self._max_body_bytes:
            return "the body is too long"
        if self._discarded_bytes > _MAX_DISCARDED_BYTES:
            return "a response to another request is too long"
        if self._discarded_responses > _MAX_DISCARDED_RESPONSES:
            return "too many responses to other requests"
        if self._informational_responses > _MAX_INFORMATIONAL_RESPONSES:
            return "too many informational responses"
        bodies = self._body_bytes + self._discarded_bytes
        if (self._parts > _MAX_SMALL_PARTS and
                bodies < _SMALL_PART_BYTES * self._parts):
            return "too much framing"
        return ""

    def find_framing_excess(self) -> str:
        """Like `find_excess`, once all that was received has been parsed."""
        bodies = self._body_bytes + self._discarded_bytes
        if self._received_bytes > 2 * bodies + _MAX_FRAMING_BYTES:
            return "too much framing"
        return ""
