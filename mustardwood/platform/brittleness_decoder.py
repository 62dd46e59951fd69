"""Decodes how many refusals in a second an endpoint bears."""

import re

from mustardwood import http1
from mustardwood.platform import headers

_NUMBER = re.compile(rb"[0-9]{1,9}")


def decode_max_refusals(response_headers: http1.Headers) -> int | None:
    """Returns the number that a response states; None if it states none.

    A brittle endpoint whose number can't be read bears none, as far as is
    known.

    Args:
        response_headers: All headers of the response.

    Examples:
        >>> decode_max_refusals([(b"Server-Brittle", b"4")])
        4
        >>> decode_max_refusals([(b"Server-Brittle", b"some")])
        0
        >>> decode_max_refusals([]) is None
        True
    """
    values = [
        value.strip(b" \t")
        for name, value in response_headers
        if name.lower() == headers.BRITTLE
    ]
    if not values:
        return None
    return min(int(each) if _NUMBER.fullmatch(each) else 0 for each in values)
