"""The response that is stored with a completed claim."""

import msgspec

MAX_BODY_BYTES = 256 * 1024
"""Length up to which a response body is stored."""


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's response to a claimed request.

    Attributes:
        status: HTTP status.
        headers: Names and values of the headers, in order.
        content_type: Media type of the body.
        body: The complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    content_type: str
    body: bytes
