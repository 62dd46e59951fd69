"""A whole answer kept with its claim."""

import msgspec


class StoredAnswer(msgspec.Struct, frozen=True):
    """What the first sender of a claimed request was answered.

    Attributes:
        status: HTTP status.
        headers: HTTP headers, as pairs of name and value.
        body: The body.
        content_type: Media type of the body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    content_type: str
