"""The answer kept with a completed claim."""

import msgspec

MAX_BODY_BYTES = 256 * 1024
"""Longest body that is stored, in bytes."""


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint's answer to a claimed request.

    Attributes:
        status: HTTP status.
        headers: Header names and values, in order.
        content_type: Media type of the body.
        body: The body, whole.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    content_type: str
    body: bytes
