"""A whole HTTP request."""

import collections.abc
import dataclasses

Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True)
class HttpRequest:
    """A request with its whole body.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Names and values, in order, without framing on the way out.
        body: The body without framing.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    def find_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header; `name` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None
