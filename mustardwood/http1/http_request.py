"""An HTTP request."""

import collections.abc
import dataclasses

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """An HTTP request with its complete body.

    Attributes:
        method: HTTP method.
        target: Path and query string, as on the request line.
        headers: Names and values in order. Received requests include the
            framing headers; requests to send must not include them.
        body: The decoded body, without chunk framing. That of a received
            request is cleared when its response ends.
    """

    method: str
    target: str
    headers: Headers
    body: bytes | bytearray = b""

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; None if it is absent.

        Args:
            name: Name of the header, in lower case.
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None
